Feature: The stand-ins of backend servers and callers
  Tests and the bench rely on what the stand-ins do and record.

  Scenario: A server that is full refuses before work
    Given a stand-in server with 1 slots, a queue of 1 and 60000 ms of work
    When 3 requests are sent to it
    Then 1 request is refused as not run, with a time to come back
    And 1 run is on record as "unfinished"

  Scenario: A draining server finishes what is in flight and takes nothing new
    Given a stand-in server with 1 slots, a queue of 1 and 300 ms of work
    When 1 requests are sent to it
    And its faults are set to {"drain": true}
    And 1 requests are sent to it
    Then 1 request is refused as not run, with a time to come back
    And 1 request is answered 200
    And 1 run is on record as "done"
    And its path "/health" is answered 503 with "draining" true

  Scenario: A caller that goes cancels its work
    Given a stand-in server with 1 slots, a queue of 1 and 60000 ms of work
    When 1 requests are sent to it
    And the callers go
    Then 1 run is on record as "cancelled"

  Scenario: Work that passes its deadline is stopped
    Given a stand-in server with 1 slots, a queue of 1 and 60000 ms of work
    When 1 requests are sent to it with a timeout of 50 ms
    Then 1 request is answered 504
    And 1 run is on record as "stopped"

  Scenario: A misled report differs from the truth
    Given a stand-in server with 2 slots, a queue of 1 and 60000 ms of work
    When 2 requests are sent to it
    And its faults are set to {"mislead": 7}
    Then its path "/load" is answered 200 with "in_flight" 7

  Scenario: Faults are given to the servers that are named
    Given 3 stand-in servers with a control port
    When the control port is told {"drain": true} for the first 2 of them
    Then the first 2 of them drain and the others do not

  Scenario: Connections over the limit are closed
    Given a stand-in server with 9 slots, a queue of 1 and 60000 ms of work
    When 5 requests are sent to it
    Then 1 request is cut
    And 4 runs are on record as "unfinished"

  Scenario: Arrivals of the load tool do not wait for answers
    Given a stand-in daemon that answers nothing until 20 calls have arrived
    When the load tool sends it 200 calls a second for 0.5 s
    Then the load tool got a good answer to every call
