Feature: Why a request ended as it did
  The logs alone tell it, whatever stands between the lines and in whatever order they come.

  Scenario Outline: The cause of a failed request is found from its identifier
    Given gateways and backend servers whose log lines are kept
    When a request fails because <trouble>
    Then its story names the cause <cause>
    And it names each backend server that was asked, its load, the age of that and the outcome
    And it says what the gateway had learned before

    Examples:
      | trouble                               | cause           |
      | every backend server rejects it       | refused         |
      | its backend server stays silent       | deadline-in-run |
      | its backend server breaks off         | connection-cut  |
      | no route matches it                   | unknown-host    |

  Scenario: The client account is named, with its state
    Given gateways with client accounts whose log lines are kept
    When a request of the account mill fails because every backend server rejects it
    Then its story names the cause refused
    And its story and its document name the account mill
    And of the lines on accounts its story has only the last one of each sort on mill

  Scenario: A request with an unknown key
    Given gateways with client accounts whose log lines are kept
    When a request with an unknown key fails
    Then its story names the cause unknown-key
    And it says that the request has not run, names its caller but no account, and has the configuration's version

  Scenario: A request over its account's allotment
    Given the log line of a request of mill that ended with 429 and the cause over-allotment
    Then its story names the cause over-allotment
    And its story and its document name the account mill

  Scenario: A request that no line names
    Given gateways and backend servers whose log lines are kept
    Then the story of an unknown identifier says that nothing names it

  Scenario: The command reads files and folders, and says when there is nothing
    Given gateways and backend servers whose log lines are kept
    When a request fails because every backend server rejects it
    Then the command tells its story from a folder of logs of two collectors
    And it complains about a file that is not there
