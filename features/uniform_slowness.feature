Feature: All endpoints of a service grow slower together
  When the work itself takes longer, no endpoint is worse than the others, and slots stay in use.

  Scenario Outline: No request waits while every slot is idle
    Given a router with <endpoints> endpoints of 4 slots that answered 200 requests in 1 ms each
    When 200 requests, 5 ms apart, take 10 ms each
    Then no request waits while nothing is in flight

    Examples:
      | endpoints |
      | 1         |
      | 4         |
      | 15        |
