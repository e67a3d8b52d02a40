Feature: What always holds, under failure
  Real processes fail under a load of reads and of writes with and without an idempotency key.
  What the backend servers ran is compared with what every caller was told.

  Scenario: A daemon is killed
    Given 4 daemons under load
    When vm-1 is lost with keyed writes that run, and they are repeated at vm-0
    And 100 more calls are answered
    Then nothing was lost, doubled, crossed or told falsely as not run

  Scenario: A daemon is paused and wakes unaware of what was repeated elsewhere
    Given 4 daemons under load
    When "vm-1" gets SIGSTOP
    And 20 keyed writes hang at vm-1 and are repeated at vm-0
    And 100 more calls are answered
    And "vm-1" goes on
    And 100 more calls are answered
    Then none of the writes that hung has run
    And nothing was lost, doubled, crossed or told falsely as not run

  Scenario: Backend servers are paused, go on, and are killed
    Given 3 daemons under load
    When backend process 1 gets SIGSTOP
    And 150 more calls are answered
    And backend process 1 gets SIGCONT
    And 100 more calls are answered
    And backend process 1 gets SIGKILL
    And 150 more calls are answered
    Then nothing was lost, doubled, crossed or told falsely as not run

  Scenario: Links between daemons and backend servers go silent and are cut
    Given 3 daemons under load whose links to backend servers may fail
    When the links to backend servers are silent and then pass
    And 100 more calls are answered
    And the links to backend servers are one_way and then cut and then pass
    And 100 more calls are answered
    Then nothing was lost, doubled, crossed or told falsely as not run

  Scenario: The platform loses answers and goes down while keyed writes go on
    Given 3 daemons under load
    When the platform has the faults {"lose_append_answers": true}
    And 20 keyed writes are answered
    And the platform has the faults {"down": true}
    And a keyed write is refused as not run while 100 reads are answered
    And the platform has the faults {}
    And 20 keyed writes are answered
    Then nothing was lost, doubled, crossed or told falsely as not run
