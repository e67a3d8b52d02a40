Feature: The adapter to the users' platform
  It translates the platform's names and calls, and decides nothing.

  Scenario: A configuration, entries and members are read from the store
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    Then the adapter reads the configuration with all its fields
    And it reads all entries though they come in pages
    And it announces a member and finds all

  Scenario: Changes are read as they come, also the end of an entry
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    When an entry is changed and another one dropped while the adapter waits
    Then the adapter gets both with their offsets

  Scenario: Two large configurations that come at once are both read
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    When two versions with 6000 routes each are written before the next read
    Then the adapter has read the later one after two calls

  Scenario: An endpoint's limit is read with and without the platform's prefix
    Then a limit is read under either name that the platform may give it

  Scenario: Lost history, refusals and silence are told apart
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    Then a read of lost history says so
    And a refused call is known to have done nothing
    And a call without an answer is not, and the next one works on a new connection

  Scenario: A store that can't be reached any more is missed while a call waits for changes
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    Then the kernel gives up the connection of a waiting call after 3 seconds of silence

  Scenario: A record that can't be read hides no other
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    When an entry lacks its address
    Then the adapter names it and reads the others

  Scenario: The requests in quarantine are written down for VMs that start later
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    Then the adapter finds none in quarantine
    When two requests in quarantine are written down, and then one
    Then the adapter finds that one
    When what is written there is no list of requests
    Then the adapter says so and finds none

  Scenario Outline: The adapter hands on the store's era, and none where that can't be read
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    When the store names its era as <header>
    Then the adapter hands on the era <era>, whole and with changes

    Examples:
      | header               | era  |
      | 7                    | 7    |
      | seven                | none |
      | -1                   | none |
      | 99999999999999999999 | none |

  Scenario: A store that comes back from an older copy has lost the offset that is asked for
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    When it comes back without the last 2 entries
    Then a read from the end before is one of lost history, and a whole list has 3 entries

  Scenario: The settings that the platform fills in are valid
    Given the template of the settings
    Then filled in as the platform does, it is valid and complete
    And a setting that is wrong is named

  Scenario: A gateway serves from the stand-in of the store
    Given a stand-in of the store and a gateway with the adapter
    When a backend server and a configuration are written there
    Then callers are served, with the platform's headers
    And the directory answers in the platform's form

  Scenario: The adapter tells which data centres are evacuated
    Given a stand-in of the store with a configuration, 5 entries and 4 other members
    When the operator evacuates papine, and takes back moonah-depot
    Then the adapter tells that papine is evacuated, whole and by changes, and what it can't
