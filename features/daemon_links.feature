Feature: Daemons of cloverhookd that lose their links to the endpoints
  Callers, the platform and the other daemons still reach such a daemon.

  Scenario: Callers of a daemon without links to any endpoint are not served
    When daemons lose their links to all endpoints for 4 s
      | daemons | cut | endpoints | links |
      | 3       | 1   | 4         | reset |
      | 3       | 2   | 4         | reset |
      | 3       | 1   | 4         | hang  |
    Then from 1.5 s after the cut to its end all daemons serve 0.97 of their requests, the others 0.97 of theirs

  Scenario: A payment that is passed on runs once, also under an idempotency key
    Given 3 daemons and 4 endpoints, where the first daemon has lost its links to all
    When 20 payments are sent to the first daemon, half of them with a key, and each key again
    Then each payment has run once, and each that was sent again got the same answer
    And its time line names the daemon that sent it on

  Scenario: A daemon believes only another daemon that a request was passed on
    Given 3 daemons and 4 endpoints, where the first daemon has lost its links to all
    When a caller claims that its payment was passed on
    Then a key of that payment is still checked, and the payment still goes one hop
