Feature: Membership among real processes
  Daemons are killed, paused, stopped and cut off from the log while callers go on.

  Scenario: A paused daemon is dropped and comes back when it wakes; a killed one is dropped
    Given a fleet of 4 daemons of which 0 reach the platform through a proxy
    When "vm-3" is stopped until the others have dropped it
    And "vm-3" goes on
    Then the others hand out vm-0 to vm-3
    And "vm-3" has noticed its pause and hands out all
    When "vm-3" is killed
    Then the others hand out vm-0 to vm-2

  Scenario: A planned stop cuts no request and ends with 0
    Given a fleet of 3 daemons of which 0 reach the platform through a proxy
    When callers keep calling and "vm-2" gets SIGTERM twice
    Then it ends with 0 and every call was answered
    And the others hand out vm-0 to vm-1

  Scenario: Configuration reaches daemons that are cut off from the log, or start without it
    Given a fleet of 4 daemons of which 2 reach the platform through a proxy
    When the proxy cuts and an operator publishes again
    Then every daemon has version 2
    When the platform is lost and "vm-4" starts with the address of a peer
    Then every daemon has version 2
    And the others hand out vm-0 to vm-4

  Scenario: A stranger on the peers' port is refused and counted
    Given 1 backend servers and 1 daemons
    When a stranger with another key greets the peers' port
    Then the metrics count 1 refused stranger
