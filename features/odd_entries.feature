Feature: Gateway processes while other writers put odd records into the store
  A record that can't be understood ends no process and hides no other record, however many there are
  and whatever topic they are in.

  Scenario Outline: An odd entry ends the processes that read the list, or they stop following it
    Given 3 gateway processes with 4 backend servers
    When another writer puts <count> odd records into each topic, of the kind: <kind>
    Then a backend server that joins afterwards gets requests, and one that leaves gets none
    And a route that is added afterwards is served by every gateway
    And a gateway process that starts afterwards serves too
    And no process has ended by itself or logged a fault, and each log has less than <log kb> KB

    Examples:
      | kind                           | count | log kb |
      | nested 100 to 100000 levels    | 12    | 600    |
      | numbers too large              | 12    | 600    |
      | ports out of range             | 12    | 600    |
      | keys that have to be quoted    | 12    | 600    |
      | extreme but sound              | 12    | 600    |
      | all of these                   | 400   | 2000   |
