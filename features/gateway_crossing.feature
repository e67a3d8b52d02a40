Feature: Data centres help out one that can't serve itself
  While the endpoints of a data centre are evacuated or lost, its VMs place their requests in the others.
  All VMs then choose among the same few endpoints, and have to know of each other's requests.

  Scenario Outline: Counts in flight are told to other data centres while requests have to cross
    Given a VM that knows VMs of two other data centres, of which <lost> of 4 endpoints <how>
    When the count at an endpoint changes
    Then a VM of each other data centre is <told> of it
    And all its counts are <told> there again within 300 ms

    Examples:
      | lost | how             | told     |
      | 0    | are evacuated   | not told |
      | 4    | are evacuated   | told     |
      | 1    | can't be reached | not told |
      | 3    | can't be reached | told     |
      | 3    | have vanished   | told     |

  Scenario: What a VM hears of counts elsewhere is bounded, however many VMs place requests
    Given a VM that has heard counts of 250 VMs while requests have to cross
    When the count at an endpoint changes 200 times within a second
    Then it tells other data centres at most 7 times, and of the last change too

  Scenario: Counts of a VM that tells changes alone are known, and forgotten without a repeat
    Given a VM that hears of 2 requests in flight by a change
    Then it knows of 2
    When it hears of none by a change
    Then it knows of 0
    When it hears of 3 by a change, and of all counts without it
    Then it knows of 0

  Scenario: Load figures cross at once while requests do
    Given measured figures whose load changes by one
    Then another data centre hears of it within 100 ms if requests have to cross, and not else

  Scenario: Looks at waiting requests on news of others leave time for all else
    Given a gateway with a request that waits, where each look takes 3 ms
    When news of others comes 100 times within 100 ms
    Then it has looked at most 8 times, and once after the last news
