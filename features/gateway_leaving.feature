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
