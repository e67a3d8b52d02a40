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
