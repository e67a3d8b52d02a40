Feature: Backend servers that name a limit get no more than that from all gateways together

  Scenario: Two of six backend servers name a limit under load
    Given 12 gateways and 6 backend servers, of which 2 name a limit of 5 requests a second
    When callers send 67 requests a second for 8 s
    Then from 3 s after its first word on, none of them gets more than 35 requests in 4 s
    And each of them gets 10 or more in the last 4 s
    And all requests are answered by a backend server

  Scenario Outline: However many gateways use it, a limit is kept and used
    Given 5 replays of <vms> gateways and endpoints that name <per_s> requests a second
    When each gateway has requests enough for 10 s, and <changing> of the gateways come and go
    Then no endpoint gets more than one and a half times its limit and 5 requests in 4 s
    And each endpoint gets 0.8 of its limit or more

    Examples:
      | vms | per_s | changing |
      | 4   | 0.4   | none     |
      | 13  | 2.9   | none     |
      | 13  | 2.9   | a tenth  |
      | 13  | 60    | none     |
      | 40  | 5     | a tenth  |
      | 132 | 20    | a tenth  |

  Scenario: What limits leave no place for is refused at once
    Given 4 gateways and 2 backend servers, of which 2 name a limit of 1 requests a second
    When callers send 40 requests a second for 4 s
    Then those that are refused have waited for 150 ms at most after the first second
    And they are told that limits are the cause, and when to come back

  Scenario: A limit that is named no more has ended for all
    Given 4 gateways and 2 backend servers, of which 1 name a limit of 2 requests a second
    When callers send 30 requests a second for 2 s
    Then every gateway knows the limit, its log and its metrics name it
    When the backend server ceases to name it, and callers send 30 requests a second for 2 s
    Then no gateway knows a limit

  Scenario: A word on a limit that is none changes nothing
    Then a header that is no number of requests names no limit
    And a datagram with a limit of another type or range is no message
