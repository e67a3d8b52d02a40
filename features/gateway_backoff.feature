Feature: Backend servers that ask for a time without requests get it, and no longer one

  Scenario: Requests go on to reach backend servers that have asked for 3 s without any
    When backend servers turn requests away for 3.5 s and ask for 3 s each time
      | gateways | backend servers | resting |
      | 4        | 6               | 1       |
      | 12       | 6               | 2       |
      | 4        | 4               | 4       |
    Then none of them gets more than 2 requests from a VM from 500 ms after it turned that VM away to the end of that time
    And where others can serve, all requests are answered
    And each of them gets a request within 500 ms of the end of the time that it asked the last VM for
    And where all rest, requests that can't be in time are rejected within 150 ms, with the time that is left to the first end

  Scenario Outline: An endpoint that wants no requests gets none by any kind of send
    Given an idle endpoint that has asked <whom> for 3000 ms without requests, and one that is <state>
    Then <at> ms later a first attempt or retry is placed at <retry>, a hedge at <hedge>
    And one that was placed at the first endpoint before is <sent>

    Examples:
      | whom       | state     | at   | retry | hedge | sent     |
      | this VM    | idle      | 2999 | i-1   | i-1   | withheld |
      | this VM    | full      | 2999 | none  | none  | withheld |
      | this VM    | suspended | 2999 | none  | none  | withheld |
      | this VM    | full      | 3000 | i-0   | i-0   | sent     |
      | another VM | idle      | 2999 | i-1   | i-1   | sent     |
      | another VM | full      | 2999 | i-0   | none  | sent     |
      | another VM | full      | 3000 | i-0   | i-0   | sent     |

  Scenario Outline: A request waits for the end of such a time only if it can be in time then
    Given an idle endpoint that has asked this VM for 3000 ms without requests, and none besides
    When a request of <priority> priority with an objective of 1000 ms arrives <before> ms before the end
    Then the queue decides that it is <decision>

    Examples:
      | priority | before | decision                       |
      | top      | 900    | rejected at once               |
      | top      | 500    | placed at the end of that time |
      | lower    | 500    | rejected at once               |

  Scenario Outline: Only a sound time in the answer that rejects a request counts
    Then an answer <status> with Retry-After <value> asks for <time> ms and is <sound>

    Examples:
      | status | value                         | time    | sound   |
      | 503    | 3                             | 3000    | sound   |
      | 503    | 0.25                          | 250     | sound   |
      | 503    | 0                             | 0       | sound   |
      | 503    | 3600                          | 3600000 | sound   |
      | 503    | 3601                          | 0       | invalid |
      | 503    | -1                            | 0       | invalid |
      | 503    | nan                           | 0       | invalid |
      | 503    | 1e3                           | 0       | invalid |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | 0       | invalid |
      | 429    | 3                             | 0       | sound   |
      | 200    | 3                             | 0       | sound   |

  Scenario: Other gateways learn of such a time, and a new incarnation starts without one
    Given 3 gateways and 2 backend servers, of which one turns requests away and asks for 5 s without any
    When one of the gateways has been turned away
    Then the other gateways send it nothing while another can serve, and logs and metrics name the time
    And a gateway that starts anew learns of it from the others
    When it starts again as another incarnation that serves
    Then each gateway that had been turned away uses it again

  Scenario: A gateway that joins learns of such a time also from one that was not asked itself
    Given a gateway that knows of 2 endpoints, one of which has asked it for 2000 ms and the other another gateway for 3000 ms
    When 500 ms later a gateway joins
    Then it is sent that they want no requests for 1500 and 2500 ms

  Scenario: The cause of a rejected request names the endpoints that want none
    Given 1 gateways and 2 backend servers that all turn requests away and ask for 5 s without any
    When a request is rejected for that
    Then explain names that cause and shows what each endpoint has asked for
    And a datagram with a time of another type or range is no message
