Feature: Backend servers that name a limit get no more than that from all gateways together

  Scenario: Two of six backend servers name a limit under load
    Given 12 gateways and 6 backend servers, of which 2 name a limit of 5 requests a second
    When callers send 67 requests a second for 8 s
    Then from 3 s after its first word on, none of them gets more than 35 requests in 4 s
    And each of them gets 10 or more in the last 4 s
    And all requests are answered by a backend server
