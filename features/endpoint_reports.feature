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
