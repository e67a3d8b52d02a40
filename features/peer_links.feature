Feature: Links between daemons
  Peers prove that they hold the shared key; a link that goes silent is replaced.

  Scenario: Two daemons that hold the key are linked
    Given daemons "vm-a" and "vm-b" that hold the same key
    When "vm-a" opens a link
    Then both are linked and a message arrives each way

  Scenario: A daemon with another key is refused and counted
    Given daemons "vm-a" and "vm-b" that hold different keys
    When "vm-a" tries to open a link
    Then neither is linked and a stranger was counted

  Scenario: A daemon's own proof sent back to it is refused
    Given daemons "vm-a" and "vm-b" that hold the same key
    When "vm-a" dials a stranger that sends all it hears back
    Then neither is linked and a stranger was counted

  Scenario: A recorded greeting can't be used again, elsewhere or in another role
    Then a greeting holds only with its nonces, its role, its target and its contents

  Scenario: Both sides dial at once
    Given daemons "vm-a" and "vm-b" that hold the same key
    When both open a link at once
    Then both are linked and a message arrives each way

  Scenario: A link that goes silent is closed and a new one takes its place
    Given daemons "vm-a" and "vm-b" that hold the same key
    And a cut proxy between them
    When "vm-a" opens a link
    And the link goes silent for good
    Then the silent link is given up on both sides
    When "vm-a" opens a link
    Then both are linked and a message arrives each way

  Scenario: An idle link that was opened on demand is closed
    Given daemons "vm-a" and "vm-b" that hold the same key
    When "vm-a" opens a link
    And it carries only pings for long
    Then the side that accepted it keeps it, and the one that dialled closes it
