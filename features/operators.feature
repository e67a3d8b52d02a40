Feature: The operators' listener
  Operators prove themselves by a token; secrets are shown nowhere.

  Scenario: A daemon before and after its first configuration
    Given 1 backend servers and 1 daemons
    Then the daemon is healthy but not ready
    And operators without the token are refused with "unauthorized"
    And 2 refused operators are counted
    And an unknown path is answered 404 with an "error" key
    When an operator publishes the configuration
    Then every daemon has the configuration
    And the daemon is healthy and ready
    And its status gives offset 1, preset "ordinary" and the age of what it knows
    When a caller sends 5 requests and 1 for an unknown host
    Then the metrics show 5 requests with outcome "ran" and 1 of kind "unknown-host"
    And every declared metric is on the page

  Scenario: A planned stop over the operators' listener
    Given a daemon whose planned stop takes 4000 ms
    When an operator drains the daemon
    Then the time line shows the drain and the daemon exits with 0

  Scenario: Secrets are shown nowhere
    Given a daemon that writes its log as JSON
    When a caller sends an idempotency key and a stranger guesses the token
    Then each line of the log is one JSON object with a part
    And neither logs, events, metrics nor status show a secret

  Scenario: A metric never shows more series than its limit
    Given a metrics page of at most 10 series
    When a source gives 15 series with quotes in their labels
    Then 10 series are shown, their labels are escaped and 5 are counted as dropped
    And a histogram's buckets are cumulative
