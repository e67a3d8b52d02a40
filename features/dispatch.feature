Feature: Requests that wait for their router

  Scenario: A caller that leaves in the moment its request is started gives the slot back
    Given a dispatcher with one slot
    When a caller leaves between the start of its request and its next step
    Then the next request gets the slot at once

  Scenario: A caller that leaves while its request waits is never started
    Given a dispatcher with one slot
    When the slot is in use and a caller leaves while its request waits
    Then the slot goes to the request behind it

  Scenario: A daemon at its own limit refuses the least important at once
    Given a dispatcher with one slot
    When the event loop of the process runs late
    Then a request of low priority is refused with a time to come back
    And a request of high priority is started

  Scenario: The peers are told of a load that has changed, not of every look
    Given a watch of the load of this process
    Then a load that grows to 80 percent is told in few steps, each a second apart
