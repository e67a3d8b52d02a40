Feature: The whole path
  A request goes from a caller through a daemon to a backend server, and its answer comes back.

  Scenario: A published configuration is followed and requests are answered
    Given 3 backend servers and 3 daemons
    When an operator publishes the configuration
    Then every daemon has the configuration
    And a caller gets 3 addresses for the service
    And 60 requests at all addresses each get their own answer

  Scenario: A request for an unknown host did not run
    Given 1 backend servers and 1 daemons
    When an operator publishes the configuration
    Then a request for an unknown host is answered 404 and "not-run"
