Feature: Connections that go silent for good while new ones work
  Something between the two ends may lose track of an open connection.  No error shows it, so a
  request on it ends by the outcome rules and the connections like it are not used again.

  Scenario: One read shows that idle connections have gone silent, and so does one given up
    Given a daemon whose backend server is behind a cut proxy
    When 6 connections to the backend server are idle and go silent for good
    Then of 6 reads one after another at most 1 is lost, within its timeout and as unknown
    And the backend server ran no read twice
    When 6 connections to the backend server are idle and go silent for good
    And a caller gives a read up
    Then 5 reads one after another are all answered

  Scenario: A payment goes over no connection that has been idle, and is never sent twice
    Given a daemon whose backend server is behind a cut proxy
    When 6 connections to the backend server are idle and go silent for good
    And the connections have been idle for a while
    Then a payment is answered and ran once
    When answers of the backend server get lost
    Then a payment is answered as unknown within its timeout and ran once

  Scenario: The kernel watches links too
    Given a listener that answers in two parts
    Then its connections notice a caller that can't be reached
    And connections to backend servers notice one that can't be reached

  Scenario: A VM keeps to its share of an endpoint's connections
    Given a pool that may have 3 connections to an endpoint
    Then a 4th request at once is refused before a byte was sent
    And idle connections are used again, the last used first
    And connections that stay idle are closed
