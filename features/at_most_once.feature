Feature: A non-idempotent request runs at most once
  Claims on idempotency keys stand in the platform's log; all daemons read the same holder there.

  Scenario: The claims of all daemons in one log
    Then the first claim in the log holds the key, whichever daemon reads first
    And a claim that lands twice, or after its own release, never holds a key again
    And a claim whose append was not answered is asked for again and counts once
    And a key is free again after its release or its window, by the times in the log
    And what has run is known to every daemon
    And a daemon that missed records grants nothing until a window has passed
    And records that are no claims change nothing
    And no key runs twice while appends are lost, late and doubled and daemons start over

  Scenario: Claims find their way to a log that fails
    Given a way to a log that loses one append and refuses the next
    Then 100 claims at once are all granted, with 4 appends at most
    And what is left at a planned stop is appended

  Scenario: A key is not granted twice in a log that starts over and grows past what was read
    Given a daemon that has read 3 claims, which the log then loses
    When another daemon claims a key there, and 5 others
    Then the first daemon does not get the key

  Scenario: A caller repeats a request
    Given 2 daemons before one backend server
    Then a repeat at the same daemon gets the same answer and does not run
    And a repeat at another daemon is told that the first ran
    And requests with the same key at once, at all daemons, run once
    And a request that was refused before it ran may be repeated anywhere

  Scenario: A daemon is lost with a request that runs
    Given 2 daemons before one backend server
    When a daemon is killed while a request with a key runs there
    Then its repeat at another daemon is answered as unknown and does not run

  Scenario: The log is down, and comes back
    Given 2 daemons before one backend server
    Then with the log down only non-idempotent requests with a key are refused, as unknown
    And with the log back the same key runs once
    And an append that lands without an answer still lets its request run once
