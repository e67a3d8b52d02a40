Feature: What holds for a request that a gateway passes on holds as if it had sent it
  A gateway that reaches no endpoint of a service passes requests on to one that does.

  Background:
    Given 3 gateways and 2 backend servers, where the first gateway has lost its links to both

  Scenario: The endpoint gets the request as its caller has sent it
    When a caller sends it a payment with a body, headers and 1500 ms
    Then one backend server gets that method, path, body, identifier and header once, and 1400 to 1500 ms
    And the caller gets the endpoint's whole answer with its receipt and identifier

  Scenario: One hop at most, also where the proxy loses its links as well
    Given the second gateway has lost its links to both, and has not noticed
    When 40 requests are sent to the first gateway
    Then no gateway has passed on a request that another one passed to it
    And all of them are answered 200, or rejected as not run

  Scenario Outline: A request that must not run twice runs once at most, whatever breaks
    When a caller sends it a payment, and <what>
    Then the payment has run <runs> times at most, and its caller gets <status>

    Examples:
      | what                                                    | runs | status  |
      | the proxy's connection is reset before it is sent on    | 1    | 200 502 |
      | the proxy's connection is reset while the endpoint works | 1   | 502     |
      | the endpoint resets it                                  | 1    | 502     |
      | the endpoint rejects it                                 | 1    | 200 503 |

  Scenario: A caller that leaves cancels the work at the endpoint
    When a caller leaves while the endpoint works on its request
    Then the endpoint's connection is closed within 500 ms

  Scenario: A request ends at its deadline
    When a caller gives a request of 2000 ms work 300 ms
    Then it is answered 504 within 450 ms, and the endpoint's connection is closed within 500 ms

  Scenario Outline: An answer that ends early doesn't look complete, and a streamed one comes in parts
    When the endpoint's answer is <answer>
    Then the caller's answer is <whole>

    Examples:
      | answer         | whole                          |
      | paused         | complete after the pause       |
      | half           | not complete                   |
      | unframed       | complete                       |
      | unframed-reset | not complete                   |
      | large          | complete, its first part before the endpoint has sent its last |

  Scenario: Passing a request on takes nothing from the retry budget and counts it once
    When 40 requests are sent to the first gateway
    Then its retry budget has no request and no retry, and those of the others have 40 requests and none

  Scenario: A proxy is not drowned
    When 200 requests of 300 ms work are sent to the first gateway at once
    Then a proxy has 64 of them at most at a time, and each one is answered 200 or rejected as not run
    And of 10 requests of each proxy's own callers as large a share is served meanwhile

  Scenario: The only proxy gets requests again as soon as it has room after it was full
    Given the third gateway has lost its links as well, so that only the second one offers to help
    When 100 requests are sent to the first gateway at once, and 20 more after they have ended
    Then some of the 100 were rejected as not run, and the 20 are answered 200

  Scenario: A gateway that stops takes no more requests of others, and ends those that it has
    When a proxy begins a planned stop while it has a request
    Then that request is answered 200, and the next 20 are served by way of the other one

  Scenario: A gateway of an earlier version is left alone
    Given the second gateway ignores what it doesn't know, like one of an earlier version
    When 20 requests are sent to the first gateway
    Then all are answered 200 by way of the third, and none was passed to the second

  Scenario: Each gateway logs a request that was passed on, and explain joins the lines
    When a request is sent to the first gateway
    Then the first gateway's log names the proxy, and the proxy's log the first gateway
    And explain shows both, and that an endpoint has answered

  Scenario: The cause of a rejection names the links that were lost
    When the other gateways lose their links as well
    Then a request is rejected as unreachable, with a time to retry after
    And explain shows the links that were lost and the service that is out of reach

  Scenario: No bytes at the port between gateways do harm
    When invalid requests and answers are sent between gateways
    Then each is refused, and the gateways go on passing requests on
