Feature: The stand-in for a failing network
  Other features rely on it, so it has to fail in just the way that it is told to.

  Scenario: Open connections go silent for good while new ones work
    Given an echo server behind a cut proxy
    And an open connection that echoes
    When the proxy goes silent and passes again
    Then the open connection stays silent and stays open
    And a new connection echoes

  Scenario: A cut resets open connections and refuses new ones
    Given an echo server behind a cut proxy
    And an open connection that echoes
    When the proxy cuts
    Then the open connection ends
    And a new connection ends

  Scenario: A one-way cut still passes bytes towards the target
    Given an echo server behind a cut proxy
    And an open connection that echoes
    When the proxy passes one way only
    Then the server gets what is sent but no echo comes back
