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

  Scenario: Gateways that reach all backend servers stop serving because others reach none
    When some gateways lose their links to all backend servers for 4 s
      | gateways | cut | backend servers | links  |
      | 12       | 4   | 6               | reset  |
      | 12       | 6   | 8               | hang   |
      | 4        | 3   | 6               | reset  |
    Then from 1 s after the cut to its end the other gateways serve 0.97 of their first tries

  Scenario: Callers of gateways without links to any backend server are not served
    When some gateways lose their links to all backend servers for 4 s
      | gateways | cut | backend servers | links       |
      | 4        | 2   | 6               | reset       |
      | 4        | 2   | 6               | hang        |
      | 4        | 2   | 6               | one way     |
      | 4        | 2   | 6               | new refused |
      | 12       | 4   | 6               | reset       |
      | 12       | 11  | 8               | hang        |
    Then from 1 s after the cut to its end all gateways serve 0.97 of their first tries

  Scenario: Requests wait for a rejection while no gateway reaches any backend server
    When some gateways lose their links to all backend servers for 4 s
      | gateways | cut | backend servers | links |
      | 4        | 4   | 4               | reset |
      | 4        | 4   | 4               | hang  |
    Then from 1 s after the cut to its end 0.97 of the requests are rejected within 150 ms
    And from 1 s after its end all gateways serve 0.97 of their first tries
