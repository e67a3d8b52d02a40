Feature: Replicas under a log and a network that misbehave
  Messages are dropped, doubled, delayed and reordered, retention cuts the log, the log starts over
  and VMs are replaced: no version is lowered, and one version is one change everywhere.

  Scenario: The state machine holds for at least ten thousand steps
    Then the state machine holds for at least 10000 steps
