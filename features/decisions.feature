Feature: Decisions under load
  What one service's router starts, holds, lends and refuses, on a clock of its own.

  Scenario: Every VM works out the same owner for each endpoint
    Given homes in three data centres and 15 endpoints spread over them
    Then every VM gives each endpoint the same owner, in its own data centre
    And the owners' slots differ by at most a quarter
    And without one home its endpoints have other owners and the rest stay spread

  Scenario: No endpoint gets more requests than it has slots
    Given a router that owns 5 endpoints
    When 50 requests arrive at once
    Then 20 have started and no endpoint has more than 4
    And 30 wait in the VM

  Scenario: The most important waiting request starts first, the oldest among equals
    Given a router that owns 1 endpoints
    And all slots are taken
    When requests of priority LOW, NORMAL, HIGH, HIGH wait
    Then they start in the order HIGH, HIGH, NORMAL, LOW

  Scenario: Under overload the least important requests are refused at once
    Given a router that owns 1 endpoints
    And all slots are taken
    When 300 requests of priority LOW arrive and then 150 of priority HIGH
    Then no request of priority HIGH was refused and those of priority LOW were, without delay
    And the times to come back are spread and grow with the overload

  Scenario: A request that cannot be served before its deadline is refused at once
    Given a router that owns 1 endpoints
    And all slots are taken
    When 20 requests wait and one arrives with 50 ms left
    Then it is refused at once as overloaded

  Scenario: A sudden slow-down is noticed within a few requests
    Given a router that owns 5 endpoints and has served for 2000 ms
    When one endpoint becomes 10 times slower for 600 ms
    Then it gets at most 14 requests of 600 ms
    And 400 ms after its recovery it gets its share again

  Scenario: Fast errors attract no load
    Given a router that owns 5 endpoints and has served for 2000 ms
    When one endpoint answers errors after 1 ms for 1000 ms
    Then it gets at most 30 requests of 1000 ms

  Scenario: When all endpoints fail most of them stay in use
    Given a router that owns 9 endpoints and has served for 2000 ms
    When every endpoint answers errors after 20 ms for 500 ms
    Then at least 6 endpoints still get requests

  Scenario: With every backend server down calls are refused at once and it recovers
    Given a router that owns 5 endpoints and has served for 2000 ms
    When no endpoint can be reached for 10000 ms
    Then attempts per call are under 1.1 and refusals carry a time to come back
    And 99 of 100 refusals came within 20 ms
    And 2000 ms after the recovery 95 of 100 calls are answered

  Scenario Outline: A request that may have run is never started again unless it is idempotent
    Given a router that owns 5 endpoints
    When a request that is not idempotent ends as <result>
    Then it is <then>

    Examples:
      | result    | then            |
      | CUT       | not run again   |
      | FAILED    | not run again   |
      | TIMED_OUT | not run again   |
      | REFUSED   | started again   |
      | NOT_SENT  | started again   |

  Scenario: Retries stay within their budget
    Given a router that owns 9 endpoints
    When 1000 requests are refused by every backend server
    Then there are at most 104 retries

  Scenario: A request that is itself a retry of the layer above gets no retry
    Given a router that owns 9 endpoints
    When a request on its second attempt is refused by the backend server
    Then it is refused without another attempt

  Scenario: Retries do not multiply along a chain of 13 services
    Given 13 services that call each other in a chain whose last one always refuses
    When 200 calls go through the chain
    Then the last service sees at most 1.1 attempts a call and 4 more

  Scenario: An idle owner lends a slot, and gets it back after its use
    Given an owner and a VM that owns nothing
    When a request arrives at the VM that owns nothing
    Then it is started on a slot that the owner has lent
    And after its end the owner has all its slots again

  Scenario: A lent slot that never comes back lapses, and one returned twice is counted once
    Given an owner and a VM that owns nothing
    When the owner lends 2 slots to each of two VMs and one slot is returned twice
    Then the owner has 5 slots
    And the owner has all its slots again after 2100 ms
    And a return that comes late changes nothing

  Scenario: The endpoints of an owner that does not answer are taken over
    Given a home whose requests wait and another home that has gone silent
    When 150 ms pass
    Then the first home starts requests at the other's endpoints
    And it hands them back when the other home speaks again

  Scenario: Messages about slots stay within their bytes
    Given a VM that owns nothing and may send 2000 bytes a second
    When 100 requests a second arrive for 10 s and no owner ever has a slot
    Then it has sent at most 24000 bytes
    And requests were started without an owner

  Scenario: Probes stay within the measuring budget and are not paid for with fresh evidence
    Given 3 homes with 15 idle endpoints and a budget of 60 ms a second
    When 20000 ms pass
    Then every endpoint was probed by its owner only
    And no second of probing cost more than 60 ms
    And a router that serves requests at all its endpoints sends no probe

  Scenario: A new endpoint starts with one request and grows
    Given a router that owns 2 endpoints and has served for 2000 ms
    When a third endpoint is added and 20 requests arrive
    Then it gets 1 request at first and 4 at once after some answers

  Scenario: An endpoint that leaves gets no new work and its requests end
    Given a router that owns 2 endpoints
    And all slots are taken
    When the first endpoint is marked as leaving and its requests end
    Then no request starts there any more

  Scenario: A switch of preset drops no request
    Given a router that owns 1 endpoints
    And all slots are taken
    When 10 requests wait and the policy changes
    Then all of them start in time

  Scenario: The number of homes grows with load and shrinks late
    Given a service with 3 homes
    Then at 70 percent load it wants 4 homes after a second
    And at 30 percent load it wants 3 again only after 30 seconds
    And of all services only those with a busy home get more homes

  Scenario: Callers are sent to the homes in turn, as often as each owns slots
    Given 3 homes that own 16, 12 and 12 slots
    When 400 callers ask one daemon
    Then the homes stand first in 160, 120 and 120 answers
    And answers are kept for less long while the homes have just changed

  Scenario: A daemon near its own limit refuses the least important first
    Given a daemon whose event loop comes 60 ms late
    Then it refuses priority LOW and NORMAL, not HIGH
    And it takes all again once the loop is on time
