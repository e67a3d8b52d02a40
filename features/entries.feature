Feature: Entries of backend servers, whoever wrote them
  Anybody may write to the store or to a gateway's port.  What is not sound names no endpoint, hides
  no other, and ends no task.

  Scenario Outline: An entry that is not sound names no endpoint
    Given an adapter that has read 3 sound entries and <entry>
    Then it names 3 backend servers and tells of 1 record that is not sound

    Examples:
      | entry                           |
      | an empty record                 |
      | a key that is not UTF-8         |
      | a key that no header can hold   |
      | a value that is not UTF-8       |
      | a list nested 100000 times      |
      | an entry without an address     |
      | an entry without slots          |
      | slots of "4"                    |
      | slots of -1                     |
      | slots of 0                      |
      | slots of true                   |
      | address of null                 |
      | address of "nowhere"            |
      | address of "10.0.0.1:99999"     |
      | service of ["orders"]           |
      | service of "\ud800"             |
      | state of "resting"              |
      | warmupLeft of NaN               |
      | warmupLeft of -3                |
      | born of "x"                     |
      | born of 1.5                     |
      | seq of null                     |

  Scenario: A sound entry that is overwritten leaves by the hold time
    Given a registry with the backend servers i-0 to i-3
    When another writer puts something else under the key of i-1
    Then i-1 is held, the others stay, and i-1 is gone within the time to drain

  Scenario Outline: A configuration that is not sound leaves the one in force
    Given a configuration whose <fault>
    Then the adapter reads none from it and says why

    Examples:
      | fault                                |
      | text is cut short                    |
      | routes are missing                   |
      | version is text                      |
      | limits are a list                    |

  Scenario Outline: An invalid route costs that route, and never sends its requests elsewhere
    Given a configuration whose <fault>
    Then the adapter reads it without that route and says why
    And the route's requests are rejected, and not sent by a route with a shorter prefix

    Examples:
      | fault                          |
      | route names an unknown service |
      | route names no service         |
      | weight is below zero           |
      | weights are all zero           |
      | time limit is missing          |
      | route is of an unknown kind    |

  Scenario: An invalid route of which not even the place is known
    Given a configuration whose path prefix is bare
    Then the adapter reads it without that route and says why
    And a request without a route is not told that there is none

  Scenario: An invalid service costs the routes to it
    Given a configuration whose service has no health path
    Then the adapter reads it without 3 items and says why

  Scenario: No bytes in the store raise anything but that a record is not sound
    Then 12000 altered entries, configurations and members, and 3000 quarantines, are read or told to be unsound

  Scenario: No bytes from a peer raise anything but that they are no message
    Then 9000 altered messages and states are taken or told to be none
    And a message with a number that no float can hold is none
      | type              | row                       |
      | CrashRecords      | 1, 2, NUMBER, false       |
      | LoadReports       | "i", NUMBER, 2, 700, 1    |
      | LoadReports       | "i", 1, NUMBER, 700, 1    |
      | LoadReports       | "i", 1, 2, NUMBER, 1      |
      | LoadReports       | "i", 1, 2, 700, NUMBER    |
      | LoadReports       | "i", 1, 2, 700, 1, NUMBER |
      | Failures          | "i", NUMBER, true         |
      | RateLimitUpdate   | "i", NUMBER, 1            |
      | RateLimitUpdate   | "i", 2.5, NUMBER          |
      | DrainNoticeUpdate | "i", NUMBER, 1            |
      | DrainNoticeUpdate | "i", 1, NUMBER            |
      | BackoffUpdate     | "i", NUMBER               |
      | AccountUse        | "i", NUMBER, 1, 1, 1      |
      | AccountUse        | "i", 1, NUMBER, 1, 1      |
      | AccountUse        | "i", 1, 1, NUMBER, 1      |
      | AccountUse        | "i", 1, 1, 1, NUMBER      |

  Scenario: A task that fails is logged and begins again
    Given a gateway whose store client fails with a fault of its own
    When the store client works again
    Then the gateway has logged the fault and reads the store

  Scenario: An endpoint that starts again under its name is a new one
    Given a gateway's knowledge of an endpoint that is loaded, slow, failing and warm
    When the endpoint starts again under its name
    Then the new incarnation is cold and nothing of before counts for it
    And what was told of the earlier one changes nothing

  Scenario: A report of an earlier start that comes late is left out
    Given a gateway's knowledge of an endpoint that is loaded, slow, failing and warm
    When the endpoint starts again under its name
    And the store tells a report of the earlier start, and one of the same start that was overtaken
    Then the newer one stays as it is
    And a peer that was told the same in another order has the same

  Scenario: A start that follows a planned end is taken
    Given a gateway's knowledge of an endpoint that is loaded, slow, failing and warm
    When the endpoint drains, leaves, and starts again under its name
    Then the new incarnation is cold and nothing of before counts for it

  Scenario: An endpoint crashes with requests on it and comes back cold under its name
    Given a gateway and a backend server that starts again under its name
    When it crashes with a request on it and starts again while the store is away
    Then callers are served by the new incarnation, and no old connection is used
