Feature: The invariant checker
  What backend servers ran is compared with what callers were told.

  Scenario: Records that agree show no violation
    Given a run of "POST" "r1" that ended "done"
    And "POST" "r1" was told 200 "ran" with the answer "r1"
    And "POST" "r2" was told 503 "not-run" without an answer
    Then the checker finds no violation

  Scenario: A request told as answered without a run is lost
    Given "GET" "r1" was told 200 "ran" with the answer "r1"
    Then the checker finds only "lost" of "r1"

  Scenario: A request told as run without a run is lost
    Given "POST" "r1" was told 409 "ran" without an answer
    Then the checker finds only "lost" of "r1"

  Scenario: A request told as answered whose run was cancelled is lost
    Given a run of "GET" "r1" that ended "cancelled"
    And "GET" "r1" was told 200 "ran" with the answer "r1"
    Then the checker finds only "lost" of "r1"

  Scenario: A request that was sent and told nothing is lost
    Given a run of "GET" "r1" that ended "done"
    And "r1" was sent
    Then the checker finds only "lost" of "r1"

  Scenario Outline: A request that is not idempotent and was started twice is doubled
    Given a run of "POST" "r1" that ended "<first>"
    And a run of "POST" "r1" that ended "done"
    And "POST" "r1" was told 200 "ran" with the answer "r1"
    Then the checker finds only "doubled" of "r1"

    Examples:
      | first     |
      | done      |
      | cancelled |
      | failed    |

  Scenario: An idempotent request may run twice
    Given a run of "GET" "r1" that ended "cancelled"
    And a run of "GET" "r1" that ended "done"
    And "GET" "r1" was told 200 "ran" with the answer "r1"
    Then the checker finds no violation

  Scenario: A key that two requests ran under is doubled
    Given under the key "k1", a run of "POST" "r1" that ended "done"
    And under the key "k1", a run of "POST" "r2" that ended "done"
    Then the checker finds only "doubled" of "k1"

  Scenario: A repeat may be told the answer of its key's first run
    Given under the key "k1", a run of "POST" "r1" that ended "done"
    And under the key "k1", "POST" "r2" was told 200 "ran" with the answer "r1"
    Then the checker finds no violation

  Scenario: An answer to another request is crossed
    Given a run of "GET" "r1" that ended "done"
    And a run of "GET" "r2" that ended "done"
    And "GET" "r1" was told 200 "ran" with the answer "r2"
    Then the checker finds only "crossed" of "r1"

  Scenario: An answer of another brand is crossed
    Given a run of "GET" "r1" that ended "done"
    And the brand "saltbush" told "GET" "r1" 200 "ran" with the answer "r1"
    Then the checker finds only "crossed" of "r1"

  Scenario: A request whose connection broke is cut
    Given a run of "POST" "r1" that ended "done"
    And the connection of "POST" "r1" broke
    Then the checker finds only "cut" of "r1"

  Scenario: A request told "not-run" that ran is found
    Given a run of "POST" "r1" that ended "cancelled"
    And "POST" "r1" was told 503 "not-run" without an answer
    Then the checker finds only "false_not_run" of "r1"
