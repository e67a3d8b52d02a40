Feature: Backend servers that say in their answers that they leave get no more requests

  Scenario: Requests go on to reach backend servers that have said in an answer that they leave
    When callers send requests while the store is away and backend servers begin to say that they leave
      | gateways | backend servers | leaving |
      | 4        | 6               | 1       |
      | 12       | 6               | 2       |
      | 4        | 4               | 4       |
    Then no VM sends them requests that callers sent later than 2000 ms after it passed on such an answer
    And where others can serve, they get no request from 300 ms after the first such answer, and all are answered
    And where all leave, requests are rejected within 150 ms from then on, with a time to retry

  Scenario: A notice outlives the entry, and a new incarnation starts without one
    Given 3 gateways and 3 backend servers, of which one says in its answers that it leaves
    When its entry is read again as ready, from the store's older copy too, and a gateway starts anew while the store is away
    Then all gateways know of the notice, and none sends it a request
    When it starts again at its address as another incarnation
    Then it gets requests again

  Scenario: The head of a long answer counts before its end
    Given a gateway and 2 backend servers of which one answers in parts
    When it says that it leaves in the head of an answer whose body goes on
    Then the gateway knows of the notice before that answer ends

  Scenario: A notice ends with a later answer without it, or when it has not been repeated for long
    Then an answer without a notice ends it only if its request was sent after the notice
    And a notice that is not repeated for 600 s has ended, one that is repeated has not

  Scenario: An endpoint that leaves is the last resort for half of the drain time, and then excluded
    Given an idle endpoint that leaves and one that is full
    Then 900 ms after the notice a request is placed at the first one, and no hedge is
    And 1000 ms after the notice none is placed, and none that was placed before is sent

  Scenario: A value that is no notice is ignored with a log line
    Given 1 gateways and 2 backend servers, of which one says leaving with the value no
    Then it gets requests, and a log line and a metric name the value
    And a datagram with a notice of another type or range is no message

  Scenario: The cause of a rejected request names the endpoints that leave
    Given 2 gateways and 2 backend servers that all say in their answers that they leave
    When requests are sent until one is rejected for that
    Then explain gives that cause and shows when the gateway learned of each notice
