Feature: How long messages of another gateway were under way
  A gateway knows at least how old a message may be, whatever its links do.  What it believes of the
  store is therefore never younger than it is.

  Scenario Outline: No message seems delayed because all of a process are, from the first one on
    Given a process whose clock is <ahead> ms ahead of the own one
    When it confirms its state 200 times, 0 to 900 ms old, and each message takes <least> to <most> ms
    And each request to it takes <least request> to <most request> ms
    Then the state is never taken for younger than it is
    And for at most <excess> ms older once it has been asked for its time

    Examples:
      | ahead     | least | most  | least request | most request | excess |
      | 0         | 1     | 3     | 1             | 3            | 40     |
      | 9000000   | 1     | 3     | 1             | 3            | 40     |
      | -9000000  | 600   | 600   | 1             | 3            | 40     |
      | 5000      | 1500  | 2800  | 1             | 3            | 40     |
      | 5000      | 1     | 3     | 700           | 1200         | 1240   |
      | -5000     | 0     | 2500  | 0             | 2500         | 2540   |

  Scenario: A process that confirms its state for the first time in its life is believed at once
    # Guards against gateways that all read the store because the first message of a sender counts
    # for nothing until the next one.
    Given a process whose clock is 70000 ms ahead of the own one
    When its first message arrives, and then its answer to the request that this causes
    Then the state is confirmed as of that message

  Scenario: A process that starts again gets the place of the one before it
    Given a process whose clock is 70000 ms ahead of the own one
    When it confirms its state 5 times, 0 to 0 ms old, and each message takes 1 to 1 ms
    And its VM starts a process whose clock is 0 ms ahead of the own one, with messages of 800 ms
    Then the state is never taken for younger than it is
    And a late message of the earlier process confirms nothing
    And it is confirmed by the process that runs

  Scenario: A process that starts after its time of day was set back is never believed
    # Guards against gateways that all read the store because they take the reader for an earlier
    # process: its number comes from the time of day.
    Given a process whose clock is 70000 ms ahead of the own one
    When it confirms its state 5 times, 0 to 0 ms old, and each message takes 1 to 1 ms
    And its VM starts a process whose number is lower
    Then the state is never taken for younger than it is
    And it is confirmed by the process that runs

  Scenario: The own clock stops for a while, so that earlier answers bound nothing any more
    # Guards against state that seems younger by the time for which a machine was suspended.
    Given a process whose clock is 70000 ms ahead of the own one
    When it confirms its state 5 times, 0 to 0 ms old, and each message takes 1500 to 1500 ms
    And the own clock stops for 4000 ms
    Then the state is never taken for younger than it is

  Scenario: An answer to no request, or to one of an earlier process, shows nothing
    Given a process that was asked for its time at 1000 ms
    Then an answer to a request of 999 ms is ignored
    And an answer of another process of its VM is ignored
    And the same answer is taken once

  Scenario: A roll of all VMs pushes out the clocks that are in use
    # Guards against confirmations that count for nothing after many restarts.
    Given a process whose clock is 70000 ms ahead of the own one
    When 5000 other processes of 2000 VMs each send a message, and it sends one after each 100 of them
    Then it is asked for its time once

  Scenario: Requests grow with the trouble of links
    # Guards against links that are filled by requests because they are full.
    Given a process that answers no request
    When it sends a message each 300 ms for 5 minutes
    Then it is asked for its time at most 16 times
