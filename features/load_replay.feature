Feature: Load at its worst, replayed on the gateway's own decisions
  Several VMs that decide apart from each other, endpoints of 2 slots whose pace changes many times a
  second, and more load than they can serve.  Each mechanism is switched off in turn: without it,
  the same load is served worse.

  Scenario Outline: In overload a mechanism earns what it is there for
    Given a replay of <vms> VMs at <rate> requests a second, 1.6 times as many in a burst
    When it is played with <mechanism> and without
    Then with it the load is worth at least <gain> more

    Examples:
      | mechanism                        | vms | rate | gain |
      | the last slot at the last moment | 16  | 35   | 0.01 |
      | leaving the last slot at first   | 16  | 50   | 0.02 |
      | putting off soon                 | 16  | 50   | 0.06 |
      | returning soon                   | 16  | 50   | 0.01 |

  Scenario: Below the capacity nearly all are served in time
    Given a replay of 5 VMs at 30 requests a second, 1 times as many in a burst
    Then 0.93 of the requests are in time and at most 0.01 are refused

  Scenario: Endpoints that hang are not filled past what they can queue
    Given a replay of 16 VMs at 50 requests a second, 1.6 times as many in a burst
    Then at most 0.02 of the arrivals find an endpoint full

  Scenario: The important requests are not served worse than the others
    Given a replay of 5 VMs at 50 requests a second, 1.6 times as many in a burst
    Then of the important requests as large a part is served in time as of the others

  Scenario Outline: An endpoint that says it is well and fails what it gets is found out
    Given a replay of <vms> VMs and <endpoints> endpoints, <share> of which <fail> what they get
    When it is played with trust by what requests met and without
    Then with it the load is worth at least <gain> more
    And of the important requests at least <served> is served in time

    Examples:
      | vms | endpoints | share | fail  | gain | served |
      | 12  | 60        | 0.3   | reset | 0.01 | 0.95   |
      | 12  | 60        | 0.6   | reset | 0.04 | 0.92   |
      | 12  | 60        | 0.3   | hang  | 0.005 | 0.95  |

  Scenario: VMs that are cut off from the others measure for themselves
    Given a replay of 12 VMs and 60 endpoints, of which 4 VMs are cut off
    When those measure a group of their own, and when they measure all every 2800 ms
    Then with it the load is worth at least 0.01 more

  Scenario Outline: Endpoints that turn requests away with free slots are used by what they take
    Given a replay of <vms> VMs and <endpoints> endpoints, <share> of which turn requests away with free slots
    When it is played with weighing refusals that all meet and without
    Then with it the load is worth at least <gain> more

    Examples:
      | vms | endpoints | share | gain  |
      | 12  | 60        | 0.7   | 0.02  |

  Scenario Outline: Weighing refusals costs next to nothing where few endpoints turn requests away
    Given a replay of <vms> VMs and <endpoints> endpoints, <share> of which turn requests away with free slots
    When it is played with weighing refusals that all meet and without
    Then with it the load is worth at least <gain> more

    Examples:
      | vms | endpoints | share | gain   |
      | 12  | 60        | 0     | -0.001 |
      | 12  | 60        | 0.05  | -0.005 |
      | 12  | 60        | 0.3   | -0.005 |

  Scenario Outline: Endpoints that nobody reaches don't use up the attempts of requests
    Given a replay of <vms> VMs and <endpoints> endpoints, <share> of which are down in a burst
    When it is played with leaving out whom nobody reaches and without
    Then with it the load is worth at least <gain> more

    Examples:
      | vms | endpoints | share | gain |
      | 12  | 60        | 0.1   | 0.02 |
      | 12  | 60        | 0.6   | 0.01 |
