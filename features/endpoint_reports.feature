Feature: What a backend server says of itself in its answers holds for cloverhookd at once and for every attempt

  Scenario: A VM that owns no endpoints sends nothing to those that are draining
    Given a VM that owns none of 2 endpoints and can't ask for slots
    When answers of both say that they are draining
    Then requests start at neither of them
    And 10 s later, without a further such answer, they do again

  Scenario: A borrowed slot of an endpoint that is draining goes back to its owner
    Given a VM that uses a borrowed slot of an endpoint
    When the head of the answer says that the endpoint is draining, and the answer ends later
    Then the slot is returned, and further requests don't start there
    And a slot of it that is granted again is returned too
    And the owner that gets it back probes the health of the endpoint

  Scenario: A borrowed slot of an endpoint that wants no requests goes back without a report of draining
    Given a VM that uses a borrowed slot of an endpoint
    When the endpoint rejects the request and asks for 3000 ms without any
    Then the slot is returned without a sign that the endpoint is draining
    And so is a slot of it that is granted again, and further requests don't start there

  Scenario: An endpoint that asks for a time without requests gets none, and is used again at its end
    Given a VM that owns 2 endpoints of 1 slot
    When one of them rejects a request and asks for 3000 ms without any
    Then requests start at the other one alone for 3000 ms
    And at the end both slots are used at once

  Scenario: Where all endpoints want no requests, one that would be late is rejected with the time that is left
    Given a VM that owns 2 endpoints of 1 slot
    When both of them reject a request and ask for 3000 ms without any
    Then a request that may wait 1000 ms is rejected at once, with 3000 ms or more to wait
    And one that arrives 500 ms before the end starts at the end

  Scenario: A request that arrives just at the end of such a time is not rejected
    Given a VM that owns 2 endpoints of 1 slot
    When both of them reject a request and ask for 3000 ms without any
    Then a request that arrives at the end, before the VM's timer, starts at once

  Scenario: What an endpoint reports shows on the time line and in the metrics
    Given a dispatcher with 2 endpoints
    When an answer of one says that it is draining, and the other rejects a request and asks for 3000 ms without any
    Then the time line shows one as draining and the other as backing-off, until a request is answered there
    And the metrics count a report of each kind

  Scenario Outline: Reports that are invalid are ignored and counted
    Then an answer <status> with <header> "<value>" contains the report <report>

    Examples:
      | status | header             | value | report      |
      | 200    | cloverhook-leaving | 1     | draining    |
      | 200    | cloverhook-leaving | 2     | invalid     |
      | 503    | retry-after        | 3     | backing-off |
      | 503    | retry-after        | 0     | none        |
      | 503    | retry-after        | -1    | invalid     |
      | 200    | retry-after        | 3     | none        |

  Scenario Outline: Only a sound time in the answer that rejects a request counts for cloverhookd
    Then a Retry-After of <value> asks cloverhookd for <time>

    Examples:
      | value | time |
      | 3     | 3000 |
      | 0.5   | 500  |
      | 3601  | none |
      | -1    | none |
      | soon  | none |
