Feature: A request that crashes the endpoints that run it is kept from the others
  Callers send it again and again, to any gateway, under another identifier each time.

  Scenario Outline: What became of the endpoint is told of a connection that was cut
    Given 1 gateways and 2 backend servers
    And the first backend server <ends> under what it gets
    When a request that it gets has been cut
    Then the log says of that attempt whether the endpoint has ended: <ended>
    And it names the caller, and the same content for the same request sent again

    Examples:
      | ends              | ended |
      | resets connections | false |
      | crashes           | true  |

  Scenario: A request that crashes who runs it comes again at every gateway
    Given 4 gateways and 12 backend servers that are back a second after they end
    When a request that crashes who runs it is sent every 200 ms for 9 s, beside sound ones
    Then at most 3 endpoints have ended
    And it reached at most 3 endpoints later than 3 s after the third of them had ended
    And each sound request was answered well

  Scenario: A request that crashes who runs it may not be repeated at all
    Given 4 gateways and 12 backend servers that are back a second after they end
    When a payment that crashes who runs it is sent every 200 ms for 4 s
    Then at most 2 endpoints have ended
    And it was answered 502 at most 2 times, and 503 with a time to come back otherwise

  Scenario: A gateway that starts later has never met it
    Given 3 gateways and 12 backend servers that are back a second after they end
    And a request that is in quarantine
    When another gateway starts, and gets that request
    Then it refuses the request, and no endpoint has got it

  Scenario: All gateways are lost at once
    Given 3 gateways and 12 backend servers that are back a second after they end
    And a request that is in quarantine
    When all gateways are lost, and others start and get that request
    Then they refuse the request, and no endpoint has got it

  Scenario: A sound request that comes often is under way wherever endpoints crash
    Given 4 gateways and 12 backend servers that are back a second after they end
    When one sound request is sent every 10 ms, and 4 endpoints crash each second for 5 s
    Then no request was refused for its content

  Scenario: The story of a request in quarantine names the crashes before it
    Given 3 gateways and 12 backend servers that are back a second after they end
    And a request that is in quarantine
    When callers send it again 6 s later
    Then its story says that it is in quarantine, and where endpoints crashed
