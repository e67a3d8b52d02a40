Feature: The time line of events over all processes
  Events of many daemons merge into an order in which no effect stands before its cause.

  Scenario Outline: Messages between daemons whose wall clocks disagree
    Given 4 time lines whose wall clocks are up to 5000 ms apart
    When they exchange 200 messages by the random seed <seed>
    Then every message is received after it was sent in the merged order
    And the merged order is the same for every order of arrival

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A cause that travels by the platform's log
    Given 2 time lines whose wall clocks are up to 5000 ms apart
    When the one that is ahead appends a record and the other reads it
    Then the append stands before the read in the merged order

  Scenario: All VMs keep the events of the same requests, and all failures
    Given 2 time lines that keep a tenth of the requests
    When each of 2000 requests passes both and is cut at the second
    Then both keep the arrivals of the same requests, about a tenth
    And every cut request is kept

  Scenario: A flood of requests does not push a change out
    Given a time line that keeps 100 events of requests
    When a change is accepted and 1000 requests arrive
    Then the change and the newest 100 requests are kept and the rest counted as dropped
    And pages of 7 events give each kept event once

  Scenario: Bars of a trace never overlap on one lane
    Given a time line of 50 requests that overlap
    When it is written as a trace
    Then each request is one bar and no two bars of requests overlap on a lane

  Scenario: An endpoint that cannot be reached shows on the time line
    Given a dispatcher with an endpoint that refuses connections
    When requests are sent there until they are refused
    Then the time line shows the endpoint as "unreachable" once

  Scenario: The tool follows a request over the daemons
    Given 2 backend servers and 2 daemons
    When an operator publishes the configuration
    Then every daemon has the configuration
    When a caller sends the same request identifier to each daemon
    Then the tool shows the request on both daemons, from arrival to answer
    And the tool shows the change on both daemons
    And the tool shows only one backend server's events when asked
    And the tool writes a trace with a process for each daemon
