Feature: VMs with more processor time and a faster link get more callers
  Two VMs of a data centre have five times the processor time and twenty times the link speed of the
  other 33.  Load that doesn't follow the capacities overloads the weak VMs while strong ones idle.

  Scenario Outline: Where capacities are equal or not all stated, the hash order decides as before
    Given a data centre of 2 strong and 33 weak VMs of which <stating> state their capacity
    When 5 seconds pass
    Then every VM sends callers to the same 12 that the hash order names, all in each answer

    Examples: An older version doesn't know the capacities, and would choose other VMs
      | stating       |
      | none          |
      | all but one   |
      | the weak ones |

  Scenario: VMs whose capacities differ by less than two times are equal
    Given a data centre of 2 strong and 33 weak VMs of which all state their capacity
    And the strong ones have only 1.9 times the processor time
    When 5 seconds pass
    Then every VM sends callers to the same 12 that the hash order names, all in each answer

  Scenario: An older version takes a heartbeat with a capacity
    Otherwise it would count all VMs of the newer version as dead during an update.
    Given heartbeats with and without a capacity
    Then the fields that older versions know are sent as before
    And the capacity arrives, or 0 where none was sent
    And a heartbeat with a faulty capacity is rejected

  Scenario Outline: As many VMs serve as the requests need, also when both strong ones are lost
    Too few would be overloaded, and too many exchange messages without need.
    Then of <strong> strong and <weak> weak VMs <count> serve <rate> requests a second

    Examples:
      | strong | weak | rate | count |
      | 2      | 33   | 0    | 7     |
      | 2      | 33   | 130  | 7     |
      | 2      | 33   | 160  | 8     |
      | 2      | 33   | 300  | 14    |
      | 2      | 33   | 9000 | 35    |
      | 1      | 33   | 0    | 6     |
      | 10     | 25   | 0    | 6     |

  Scenario Outline: Each VM is picked in proportion to its capacity
    A strong VM with an equal share would idle, and a caller with an answer of strong VMs alone would
    have no gateway as soon as those die.
    Given answers of <strong> strong and <weak> weak VMs
    Then each holds all strong VMs, a weak one and 2 addresses at least
    And over many answers each VM is picked in proportion to its capacity, within <error> of it

    Examples:
      | strong | weak | error |
      | 2      | 5    | 0.05  |
      | 2      | 10   | 0.05  |
      | 2      | 33   | 0.05  |
      | 1      | 5    | 0.05  |
      | 3      | 8    | 0.05  |
      | 2      | 4    | 0.2   |

  Scenario: Very different VMs get their share although an answer then holds strong ones alone
    The least capable VMs would otherwise get a third of the callers.
    Then of 2 VMs with 100 times the capacity of 11 others, a strong one gets 0.47 of the callers

  Scenario: Callers load the VMs by their capacities, and less than by the hash order
    Given a data centre of 2 strong and 33 weak VMs, and the same without capacities
    When both serve 300 requests a second for 30 seconds
    Then the strong VMs get 0.45 of the requests
    And the busiest second of a VM is less busy than with the hash order
    And no request fails

  Scenario: When both strong VMs die, callers have other addresses and others take over
    An answer of strong VMs alone would leave its caller without a gateway until it asks again.
    Given a data centre of 2 strong and 33 weak VMs, and the same without capacities
    When both serve 300 requests a second for 30 seconds
    And the strong VMs die
    Then after 2.7 seconds no answer names them, and all who serve had load reports before
    When 20 seconds pass
    Then every VM sends callers to the same 12 that the hash order names, all in each answer
    And no VM had more requests in a second than its processor time allows
    And no request fails

  Scenario: Strong VMs that restart one by one keep their share
    Given a data centre of 2 strong and 33 weak VMs, and the same without capacities
    When both serve 300 requests a second for 30 seconds
    And each strong VM dies and starts again 6 seconds later, one after the other
    Then no VM had more requests in a second than its processor time allows
    And no request fails
    And 10 seconds later the strong VMs get 0.45 of the requests again

  Scenario: Strong VMs that are partitioned lose their callers, and get them back
    Given a data centre of 2 strong and 33 weak VMs, and the same without capacities
    When both serve 300 requests a second for 30 seconds
    And the strong VMs hear no others and no others hear them for 20 seconds
    Then no VM had more requests in a second than its processor time allows
    And no request fails
    And 20 seconds after the partition the strong VMs get 0.45 of the requests again

  Scenario: Strong VMs are the first to read the store
    Reading costs bytes, as the other VMs fetch states from the readers.
    Given 1 strong and 6 weak VMs that start at once
    Then the strong one reads the store, and another VM does when that has fallen silent

  Scenario: Two VMs agree on which of them reads the store first
    If each let the other precede, both would stop reading, for example during an update.
    Given strong and weak VMs of this version, and some that state no capacity
    Then of any two exactly one precedes the other

  Scenario: Gateways learn the capacities from each other
    The figures must get from the settings to the answers of other gateways.
    Given a strong and 3 weak gateways in a data centre that counts as large
    Then each answers callers with the strong one and a weak one
    And the metrics of the strong one say that it gets 0.625 of the callers
    When the strong one dies
    Then the others answer with all 3 that are left
    When a gateway starts that states no capacity
    Then the others answer with all 4
