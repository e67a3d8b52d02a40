Feature: Requests that wait for their router

  Scenario: A caller that leaves in the moment its request is started gives the slot back
    Given a dispatcher with one slot
    When a caller leaves between the start of its request and its next step
    Then the next request gets the slot at once

  Scenario: A caller that leaves while its request waits is never started
    Given a dispatcher with one slot
    When the slot is in use and a caller leaves while its request waits
    Then the slot goes to the request behind it
