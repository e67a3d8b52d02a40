Feature: Daemons of cloverhookd that lose their links to the endpoints
  Callers, the platform and the other daemons still reach such a daemon.

  Scenario: Callers of a daemon without links to any endpoint are not served
    When daemons lose their links to all endpoints for 4 s
      | daemons | cut | endpoints | links |
      | 3       | 1   | 4         | reset |
      | 3       | 2   | 4         | reset |
      | 3       | 1   | 4         | hang  |
    Then from 1.5 s after the cut to its end all daemons serve 0.97 of their requests, the others 0.97 of theirs
