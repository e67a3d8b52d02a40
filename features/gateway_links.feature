Feature: Gateways that lose their links to backend servers
  Callers, the store and the other gateways still reach such a gateway.

  Scenario: A gateway names the backend servers that it does not reach
    Given 2 gateways and 3 backend servers, and callers at both gateways
    When the first gateway loses its links to all of them
    Then its log says of each of them when it was lost, and how that showed
    And its metrics count 3 links as down, and those of the other gateway none
    When it has them again
    Then its log says of each of them that it is reached again, and for how long it was not
    And its metrics count 0 links as down, and those of the other gateway none
