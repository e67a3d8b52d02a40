Feature: The store comes back from an older copy
  It has lost what was written last, and gives those offsets out again, under a later era.

  Scenario: What is written after the store's return is followed
    Given 3 gateways and 4 backend servers whose store loses its last 6 records
    When entries and configuration are written again, and then one leaves, one comes, and more changes
    Then every gateway knows the one that came, the configuration and the evacuation
    And no gateway knows the one that left

  Scenario: A backend server that had left stands in the copy
    Given 3 gateways and 4 backend servers, of which one has left and still serves
    When the store comes back from a copy in which it is ready
    Then it gets none of 60 requests

  Scenario: A backend server that drains is ready in the copy
    Given 3 gateways and 4 backend servers, of which one drains
    When the store comes back from a copy in which it is ready
    Then it gets none of 60 requests

  Scenario: A backend server that the copy lacks goes on serving until it has registered again
    Given 3 gateways and 4 backend servers, of which one has just come
    When the store comes back from a copy that lacks it
    Then it is known to every gateway until it has written its entry again, and from then on

  Scenario: A backend server that the copy lacks and that doesn't register again
    Given 3 gateways and 4 backend servers, of which one has just come
    When the store comes back from a copy that lacks it
    Then no gateway knows it 4 s later

  Scenario: An evacuation that the copy lacks holds until the operator has written it again
    Given 3 gateways and 4 backend servers whose data centre is evacuated
    When the store comes back from a copy in which it is not
    Then it is evacuated for every gateway until it has been written again, and from then on

  Scenario: An evacuation that the copy lacks and that isn't written again ends
    Given 3 gateways and 4 backend servers whose data centre is evacuated
    When the store comes back from a copy in which it is not
    Then it is evacuated for no gateway 4 s later

  Scenario: A configuration that the copy lacks stays in force
    Given 3 gateways and 4 backend servers whose configuration has just changed
    When the store comes back from a copy with the configuration before
    Then every gateway keeps the later one

  Scenario: Offsets that are given out again before they are read
    Given 3 gateways and 4 backend servers whose store loses its last 2 records
    When as many records are written again at once, and one more
    Then every gateway knows what each of them says

  Scenario: A gateway that was cut off over the store's return
    Given the registries of a gateway that saw an era, and of one that was cut off in the era before
    Then what the latter tells changes nothing for the former
    And the latter takes what the former tells

  Scenario Outline: An era that can't be, or is none, changes nothing
    Given 1 gateways and 4 backend servers, and a store whose era becomes <era>
    When a backend server comes
    Then the gateway knows <known> of them, and its log names the era as <state>

    Examples:
      | era     | known | state     |
      | missing | 5     | no-era    |
      | earlier | 4     | older-era |

  Scenario: A return is told in the log and the metrics
    Given 3 gateways and 4 backend servers, of which one has just come
    When the store comes back from a copy that lacks it
    Then each gateway that reads the store has logged the era, and its metrics show it

  Scenario Outline: Whatever the order, all end with what the store holds
    Given 40 replays of <vms> gateways that read the store or hear of it from others
    When the store comes back from older copies while servers come, leave and report
    Then no gateway has used one that had left for longer than the hold time
    And all end with what the store holds

    Examples:
      | vms |
      | 2   |
      | 6   |
