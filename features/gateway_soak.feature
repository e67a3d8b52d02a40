Feature: Gateways under random faults
  Real processes, callers that never rest, and faults that come in series and overlap.

  Scenario Outline: A seeded run keeps every promise
    When the soak plays seed <seed>
    Then nothing that callers and backend servers have seen breaks a promise
    And callers were served, during the faults and after them

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
