Feature: Fair shares, waiting and retries in the request queue
  Replays of a part of deployment A: endpoints of 6 slots, 3 in 10 of them 7 times slower, kinds of
  request with work of 100 to 320 ms, and accounts of different sizes.  Each load was served worse
  before the queue knew accounts and let requests wait beyond their objective.

  Scenario: An account at the limit of its allotment doesn't make the others late
    # Guards against an order by arrival, in which the busiest account takes the slots of the others.
    Given a replay of deployment A with 4 accounts and seeds 1 to 2
    When the third account sends 1.6 times its usual load
    Then no other account's share in time is more than 0.02 lower than with the usual load

  Scenario: An account without a limit that sends 8 times its usual load doesn't make the others late
    # Guards against the same, where the allotment doesn't keep the load from the queue.
    Given a replay of deployment A with 4 accounts and seeds 1 to 2
    When the third account sends 8 times its usual load
    Then no other account's share in time is more than 0.02 lower than with the usual load

  Scenario: In a deep overload every account and every kind is served
    # Guards against shares by account size alone and against priorities that starve long work.
    Given a replay of deployment A with 4 accounts and seeds 1 to 2
    When its load is "burst of 2.2"
    Then no account and no kind has a share served below half of the mean

  Scenario Outline: Waiting earns more than deferral
    # Guards against requests that are told to retry although they could wait for a slot.
    Given a replay of deployment A with 12 accounts and seeds 1 to 2
    When its load is "<load>"
    Then it is worth at least <share> of what the oracle earns, and more than without waiting and shares

    Examples:
      | load                       | share |
      | waves of 55 in 100         | 0.9   |
      | half of the endpoints slow | 0.9   |

  Scenario: Without accounts and with short timeouts nothing is different
    # Guards against changes for the deployments that have neither.
    Given a replay of deployment B and seeds 1 to 1
    When it is played as before and as now
    Then the outcomes are equal to the last digit

  Scenario: The priority of an account is compared with that of other accounts
    # Guards against deferring all requests where account priorities begin at 1 and those of routes at 0.
    Given routes of priority 0 and 2, and accounts of priority 1, 3 and without
    Then requests of the account of priority 1 are of top priority and those of priority 3 are not
    And requests of the account without priority are of top priority on the route of priority 0 only

  Scenario: A request whose turn comes after its deadline is rejected at once
    # Guards against callers that wait for an answer that can't come in time for them.
    Given a queue that starts one request of 100 ms every 100 ms and has 60 waiting
    When two requests that can't be in time arrive, to be answered within 3000 and 8000 ms
    Then the first is rejected at once, and the second is served when its turn has come
    And its retry is asked for when the queue has been served, not sooner
