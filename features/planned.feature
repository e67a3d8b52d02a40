Feature: What always holds, in planned changes and while measuring
  Daemons and backend servers leave under load; nothing at all may be cut.

  Scenario: Every daemon is replaced
    Given 4 daemons under load
    When every daemon is replaced, one by one
    Then nothing was lost, doubled, crossed, cut or told falsely as not run

  Scenario: A backend server leaves by the configuration
    Given 3 daemons under load
    When a backend server at work leaves by the configuration
    Then 3 seconds later it gets no request, and what was in flight there has ended well
    And nothing was lost, doubled, crossed, cut or told falsely as not run

  Scenario: A backend server leaves and tells so itself
    Given 3 daemons under load
    When a backend server at work begins to drain
    Then 3 seconds later it gets no request, and what was in flight there has ended well
    And nothing was lost, doubled, crossed, cut or told falsely as not run

  Scenario: Measuring stays within its budget under load
    Given 3 daemons under load before 120 backend servers, with 42 ms a second for measuring
    When 15 probes have reached the backend servers
    Then by their own count no more came than the budget allows, and the daemons count as many
    And nothing was lost, doubled, crossed, cut or told falsely as not run
