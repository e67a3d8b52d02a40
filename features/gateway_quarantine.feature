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

  Scenario: Requests that crash endpoints at the same moment at the same gateway
    Given 4 gateways and 12 backend servers that are back a second after they end
    When two requests that crash who runs them are sent together every 200 ms for 6 s, beside sound ones
    Then at most 6 endpoints have ended
    And no sound request was rejected

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

  Scenario Outline: Copies that come at once to many VMs end few endpoints after the first crash
    Given a replay of <vms> VMs between which <lost> in 100 messages are lost
    When <copies> copies of a request that crashes who runs it come every 300 ms for 90 s
    Then at most <most> endpoints have ended, in each of 10 replays

    Examples:
      | vms | lost | copies | most |
      | 5   | 0    | 1      | 3    |
      | 5   | 0    | 5      | 8    |
      | 40  | 0    | 1      | 3    |
      | 40  | 5    | 5      | 10   |
      | 300 | 0    | 1      | 3    |

  Scenario: VMs that are cut off, new or restarted end few endpoints each
    Given a replay of 13 VMs between which 0 in 100 messages are lost
    When copies come to all, 3 VMs are cut off from 5 to 15 s, and 5 start again at 16 s
    Then each VM that was cut off has ended at most 2 endpoints, and all others together 3

  Scenario: A sound request from one caller and a fatal one from another have the same content
    Given a replay of 5 VMs between which 0 in 100 messages are lost
    When both come every 100 ms for 15 s
    Then at most 4 endpoints have ended, and each sound request was served

  Scenario Outline: Endpoints that crash under 1 in 3 requests of any kind put none in quarantine
    Given a replay of <vms> VMs between which 0 in 100 messages are lost
    When a request that was answered before comes every 50 ms while endpoints crash for 15 s
    Then it was never refused, in each of 10 replays

    Examples:
      | vms |
      | 1   |
      | 13  |

  Scenario: More requests than can be kept
    Given a VM that has met the crash of an endpoint under each of 5000 requests
    And a request that it holds in quarantine
    Then it holds at most 1024, and still that one
    And all are forgotten a day after the last
