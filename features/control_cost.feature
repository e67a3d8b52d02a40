Feature: Control costs next to nothing while nothing happens

  What is counted here is work, not time; `python -m bench.control_cost` measures the time.

  Scenario: Only what waits for the clock asks for it
    Given the routers of 390 services that may not measure
    When all that is due has been done
    Then no router asks to be woken
    When a request waits for a slot of "brand-7/service-3"
    Then only that router asks to be woken

  Scenario: A waiting request is refused at its limit though nothing else happens
    Given the routers of 1 service that may not measure
    When a request waits for a slot of "brand-0/service-0"
    Then it is refused at the end of its 75 ms by the wake-ups asked for
    And another one is refused by the event loop's own timer

  Scenario: An endpoint is probed when it falls due, and its router sleeps until then
    Given a router that owns one endpoint
    Then it probes once its budget allows, and wakes up next when the answer has grown stale
    And after a refused request it wakes up to ask for the endpoint's health
    And a router without the budget for a probe never wakes up for one

  Scenario: The probes of a daemon are bounded, however many services it has
    Given 400 routers that each own one endpoint and share their turns
    Then they probe no more often than a daemon may, and go through all endpoints

  Scenario: A change of one brand touches that brand's routers alone
    Given the routers of 390 services that may not measure
    When "brand-7" changes the policy of "service-3"
    Then only the router of "brand-7/service-3" has taken an event
    When "brand-7" is removed
    Then only the ten routers of "brand-7" have taken an event
    And its host names are unknown and all others are known

  Scenario: Daemons at rest wake up for their heartbeats alone
    Given 19 daemons that know each other
    Then in ten seconds each has a tick for every heartbeat and search, and none besides

  Scenario: A daemon wakes up for a neighbour's silence, also between heartbeats
    Given a daemon with a heartbeat each ten seconds and one neighbour
    Then it pings the neighbour at the end of the silence that it allows, and suspects it in time

  Scenario: An idle listener does not wake the event loop
    Given a listener that has answered a request
    Then it has looked once at whether to stop after half a second
    And it stops when it is told to
