Feature: Endpoints are trusted for what requests met
  An endpoint's own word and the answer to a probe can be false either way.

  Scenario Outline: Who fails what it gets, though its probe is answered, is found out by the fleet
    Given a gateway and 4 backend servers
    And another gateway that hears it
    And the first backend server <fails> all it gets
    When callers read 60 times from both gateways by turns, and on until it has failed one
    Then each of these answers is 200
    And at most 6 requests went to the first backend server
    When callers write 20 times
    Then each of these answers is 200

    Examples:
      | fails       |
      | resets      |
      | answers 500 |

  Scenario: Who says it is ill and answers well is used
    Given a gateway and 2 backend servers
    And the first backend server says that it is ill
    When 6 callers read at once
    Then each of these answers is 200
    And at least 2 requests went to the first backend server

  Scenario: One that is mended is used again
    Given an endpoint that was suspended
    Then it gets nothing for a second, and then one request that can be repeated
    When that one is answered well
    Then it gets any request

  Scenario: One that gets no request that can be repeated is tried with one that can't
    # Guards against an endpoint that has recovered and is never used again, because no request that
    # could show it is allowed there.
    Given an endpoint that was suspended
    Then without a request that can be repeated it gets one that can't within 2 s
    When that one is answered well
    Then it gets any request

  Scenario: One that goes on failing is rarely tried with requests that can't be repeated
    # Guards against callers' requests that fail at a faulty endpoint, one after the other.
    Given an endpoint that was suspended
    When each trial with a request that can't be repeated fails for a minute
    Then it was tried 6 to 12 times

  Scenario: A request that can't be repeated goes to other endpoints first
    # Guards against a failure of a request that a sound endpoint could have run.
    Given an endpoint that was suspended
    When another endpoint has room
    Then a request that can't be repeated goes there at any time

  Scenario: One that goes on failing is tried ever more seldom
    Given an endpoint that was suspended
    When each trial fails for a minute
    Then it was tried 6 to 12 times

  Scenario: The failures of a VM that sees most endpoints fail don't count
    Given 20 endpoints that one VM says have all failed twice
    Then at most 6 of them are suspended

  Scenario: With nearly all of a service suspended, all are used
    Given 20 endpoints of which 18 are suspended
    Then requests go to more than 2 of them

  Scenario: Who loses a few answers in a hundred is hardly ever suspended
    Given 19 VMs that together send an endpoint 8 requests a second, of which it loses 4 in 100
    Then a VM holds it for suspended at most 0.03 of ten minutes

  Scenario: An endpoint that turns requests away with free slots is known to all, and still used
    Given 2 gateways and 2 backend servers of which one turns every second request away
    When one gateway has sent it 40 requests
    Then both gateways know that it turns away between 0.2 and 0.7 of what it gets
    And it is not suspended

  Scenario: A request that was turned away is not sent where its answer would come too late
    Given 1 gateways and 2 backend servers of which one turns all away and one works 60 times as long
    When a request that the first one gets has been turned away
    Then it is refused at once, and the slow one has not been asked

  Scenario: An estimate of the work that is far too long is corrected while endpoints are idle
    # Guards against a route that is refused for good, because no request starts whose answer could
    # show that the endpoints are fast again.
    Given a gateway without scheduled probes, whose log is kept, and 1 backend servers
    When its endpoints have taken nearly as long as the timeout of the route for each of 50 writes
    Then writes that come one after the other are all answered 200 in the end
