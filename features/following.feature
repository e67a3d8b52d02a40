Feature: Following the log through its failures
  Followers and operators share a log in this process; their clock is the scenario's.

  Background:
    Given a log and 3 followers
    And the operator has published version 3 of a brand

  Scenario: The answer to an append is lost
    When the answer to the next append is lost
    And the operator switches to peak
    Then the change is accepted, and the log holds it once

  Scenario: The log goes silent after the append, and the change is settled later
    When the log goes down after the next append
    And the operator switches to peak
    Then the outcome is unknown
    When the log is back
    Then settling the change says accepted

  Scenario: An operator interrupts the tool after the append has gone out
    When the operator switches to peak and interrupts it in the append
    Then the outcome is unknown
    When the log is back
    Then settling the change says accepted

  Scenario: The log is down
    When the log is down
    And the operator switches to peak
    Then the outcome is refused
    And every follower has version 3 and says that it is behind
    When the log is back
    Then every follower has version 3 and is not behind

  Scenario: Two operators race
    When another operator switches to maintenance just before the append
    And the operator switches to peak
    Then the change is rejected, and the operator is told of the one that won and what differs

  Scenario: A follower starts from the newest snapshot when the head of the log is gone
    When a snapshot is due and the log loses its head
    And a new follower starts
    Then every follower has version 3 and is not behind

  Scenario: A gap is not folded over
    When one follower is cut off, a race is lost and the log keeps nothing but the loser
    Then the follower that was cut off has version 3 and says that it is behind
    When the other followers append a snapshot
    Then every follower has version 4 and is not behind

  Scenario: The log starts over, and nothing reverts
    When the log starts over
    And an operator who knows nothing publishes the brand anew
    Then every follower has version 3 and says that it is behind
    And an operator who knows the daemons' versions is refused
    When the followers' patience is over
    And a new follower starts
    Then every follower has version 3 and is not behind
    When the operator switches to peak
    Then the change is accepted, and the log holds it once
    And every follower has version 4 and is not behind

  Scenario: The answer to a read that is older than a peer's state counts no restart of the log
    When the log starts over
    And a follower reads it empty, and gets the state of one that has appended a snapshot before the answer
    Then every follower has version 3 and is not behind
    And every follower counts 1 restart of the log

  Scenario: A snapshot that was refused does not keep the followers from seeding a log that starts over
    When the log refuses appends for 12 s, and then starts over
    And the followers' patience is over
    Then every follower has version 3 and is not behind

  Scenario: A snapshot that came due in an outage does not go into a log that has started over
    When a snapshot comes due while the log is down, and the log starts over
    And the followers' patience is over
    Then every follower has version 3 and is not behind

  Scenario: The log starts over unseen and outgrows what was read
    When the log is down for the followers, starts over and grows further
    Then every follower has version 3 and says that it is behind
    When the followers' patience is over
    Then every follower has version 3 and is not behind

  Scenario: The log starts over unseen after a follower has got its state from a peer
    When a change on version 3 reaches the log, and a follower gets it with a peer's state
    And the log is down for the followers, starts over and grows further
    Then every follower has version 4 and says that it is behind
    When the followers' patience is over
    Then every follower has version 4 and is not behind

  Scenario: One snapshot does for all, and an outage ends without a stampede
    Given 19 more followers
    When 20 minutes pass
    Then at most 4 appends were snapshots
    When the log is down for an hour
    And 1 minutes pass
    Then at most 2 appends were snapshots

  Scenario: A follower that starts on the new log before it has a snapshot comes to the same
    When the log starts over
    And a new follower starts
    And a change on version 3 reaches the log
    And the followers' patience is over
    Then every follower has version 4 and is not behind

  Scenario: Records that do not join onto what was folded are left
    When a change on version 3 reaches the log
    Then a follower folds it from a peer only at its own position

  Scenario: A change is not in force in time as a read of the log stays without an answer
    Given a log and 1 followers
    And the operator has published version 3 of a brand
    When the follower's next read gets no answer, and version 4 is published meanwhile
    Then the follower has version 4 within 5 s, and its age was never below the time without an answer
