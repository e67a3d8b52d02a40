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
    And where all rest, requests are rejected within 150 ms, with the time that is left to the first end
