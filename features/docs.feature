Feature: The documents and the programs agree
  What a document names exists, and what exists is named.

  Scenario: The reference page is what the programs give
    Given the documents
    Then the reference page has every command, flag, setting, error kind, metric and event
    And each of its rows says what the thing means

  Scenario: What the other pages name exists
    Given the documents
    Then each command, flag and make target that they name exists
    And each link and each file that they name exists
    And each name that looks like a setting, metric or error kind is one

  Scenario: Wrong names are found
    Given a document with a command, a flag, a target, a link and a metric that do not exist
    Then all 5 are reported
