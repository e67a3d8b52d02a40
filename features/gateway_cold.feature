Feature: Cold endpoints get no more than they bear
  An endpoint that is cold bears a few requests a second and fails above that.  It is idle, so each
  VM alone would choose it first.

  Scenario Outline: VMs whose lists differ never exceed the bound together
    Given <vms> VMs, of whose lists <differ>
    Then whatever the order of their requests, no sliding second exceeds the bound

    Examples:
      | vms | differ                               |
      | 5   | none differ                          |
      | 40  | none differ                          |
      | 40  | two halves don't hear each other     |
      | 40  | each misses any 3 others             |
      | 300 | two halves don't hear each other     |

  Scenario Outline: A data centre that comes back cold in a burst
    Given <endpoints> cold endpoints, <vms> VMs and <rate> short requests a second
    When the load is played with the limit and without
    Then without it a sliding second exceeds the bound, and with it none does
    And with it the endpoints still get 0.5 of what they bear

    Examples:
      | endpoints | vms | rate |
      | 6         | 5   | 300  |
      | 12        | 40  | 500  |
      | 12        | 300 | 1500 |

  Scenario Outline: How long an endpoint stays cold is followed up and down
    Given an endpoint registered as cold for <before> s
    When its next report says cold for <after> s
    Then 100 ms later it is <state>

    Examples:
      | before | after | state |
      | 3      | 0     | warm  |
      | 0      | 3     | cold  |
      | 3      | 2     | cold  |

  Scenario: A probe tells that an endpoint has become cold, and peers hear of it
    Given a load figure of a probe that says cold for 2500 ms
    Then it is cold after 2000 ms and warm after 2600 ms, also at a peer
    When a later probe says nothing of it
    Then it is warm at once

  Scenario Outline: What a header says of being cold may be anything
    Given a header that says cold for <value>
    Then it is taken for <cold> ms

    Examples:
      | value                | cold |
      | 2500                 | 2500 |
      | -3                   | 0    |
      | soon                 | 0    |
      | 99999999999999999999 | 0    |
