Feature: Pipelined requests run concurrently and are answered in order
  In the lists, r1 is an idempotent request, w1 one that isn't, and bad one that can't be read.

  Scenario: A response that is ready early waits for the earlier ones
    # Guards against requests that wait for others, and responses that reach the wrong request.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2 r3
    Then the running requests are r1 r2 r3
    When the handler answers r3 r2
    Then no response has been received
    When the handler answers r1
    Then the responses received are r1 r2 r3
    And the connection stays open

  Scenario: A listener that states nothing serves one request at a time
    # Guards against concurrency on listeners whose handlers don't expect it.
    Given a listener without concurrency
    When the caller sends the list r1 r2
    Then the running requests are r1
    When the handler answers r1
    Then the running requests are r2

  Scenario: A request that isn't idempotent runs alone
    # Guards against a write that runs beside reads of its connection, or before them.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2 w3 r4 r5 w6 w7
    Then the running requests are r1 r2
    When the handler answers r2
    Then the running requests are r1
    When the handler answers r1
    Then the running requests are w3
    When the handler answers w3
    Then the running requests are r4 r5
    When the handler answers r4 r5
    Then the running requests are w6
    When the handler answers w6
    Then the running requests are w7
    When the handler answers w7
    Then the responses received are r1 r2 w3 r4 r5 w6 w7
    And the connection stays open

  Scenario: More requests than the limit wait unparsed
    # Guards against a caller that makes a VM hold any number of requests.
    Given a listener whose responses are given by the scenario
    When the caller sends 300 idempotent requests at once
    Then the running requests are r1 r2 r3 r4 r5 r6 r7 r8
    When the handler answers r2
    Then the running requests are r1 r3 r4 r5 r6 r7 r8
    When each request ends as soon as it runs
    Then 300 responses have been received in order
    And never more than 8 were unanswered and parsed

  Scenario: Bodies of waiting requests are bounded
    # Guards against uploads behind a slow request that fill the memory of a VM.
    Given a listener whose responses are given by the scenario
    When the caller sends 8 idempotent requests with bodies of 40000 bytes
    Then the running requests are r1 r2 r3
    When each request ends as soon as it runs
    Then 8 responses have been received in order

  Scenario: Finished responses that wait are bounded
    # Guards against large responses behind a slow request that fill the memory of a VM.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2
    Then the running requests are r1 r2
    When the handler gives r2 65536 bytes
    And the caller sends the list r3
    Then the running requests are r1
    When the handler answers r1
    Then the running requests are r3

  Scenario: A caller that doesn't read gets no further requests started
    # Guards against responses that pile up in the transport of a connection.
    Given a listener whose responses are given by the scenario
    When the caller reads nothing and sends 100 requests that each give 200000 bytes
    Then at most 65536 bytes and one response wait in the transport, and requests are left
    When the caller reads again
    Then 100 responses have been received in order

  Scenario: A disconnect cancels all requests
    # Guards against work for a caller that is gone.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2 r3 w4
    Then the running requests are r1 r2 r3
    When the handler streams the response to r2
    And the caller disconnects
    Then the requests cancelled are r1 r3
    And the requests that ran are r1 r2 r3
    And the stream has been closed unread and the listener has no connection

  Scenario: Nothing behind a request that closes the connection runs
    # Guards against requests that run although their caller gets no response to them.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2-close r3
    Then the running requests are r1 r2
    When the handler answers r2 r1
    Then the responses received are r1 r2
    And the last one closes the connection
    And the requests that ran are r1 r2

  Scenario: A handler that fails resets the connection in its turn
    # Guards against lost responses to earlier requests, and responses behind a missing one.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2 r3
    Then the running requests are r1 r2 r3
    When the handler fails r2
    Then no response has been received
    When the handler answers r1
    Then the responses received are r1
    And the connection is reset
    And the requests cancelled are r3

  Scenario: A malformed request is rejected after the responses to those before it
    # Guards against good requests that are lost because of what follows them.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2 bad r3
    Then the running requests are r1 r2
    When the handler answers r2 r1
    Then the responses received are r1 r2 400
    And the last one closes the connection
    And the requests that ran are r1 r2

  Scenario: A request for an upgrade gets one response, and what follows is ignored
    # Guards against a second response, a rejection, to a request that was served.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1-upgrade r2
    Then the running requests are r1
    When the handler answers r1
    Then the responses received are r1
    And the last one closes the connection

  Scenario: A streamed response is read in its turn
    # Guards against large responses that are read ahead, and parts that mix with other responses.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2 r3
    Then the running requests are r1 r2 r3
    When the handler streams the response to r2
    And the handler answers r3
    And the caller sends the list r4
    Then the running requests are r1
    And nothing of the stream has been read
    When the handler answers r1
    Then the responses received are r1
    And the connection stays open
    When the stream goes on
    Then the running requests are r4
    And the responses received are r1 stream r3
    And the connection stays open

  Scenario: A stream that breaks off resets the connection
    # Guards against responses that a caller takes for the rest of the broken one.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2 r3
    Then the running requests are r1 r2 r3
    When the handler streams the response to r1
    And the stream breaks
    Then no response has been received whole, and the connection is reset
    And the requests cancelled are r2 r3

  Scenario: A caller is asked for a body only after earlier responses
    # Guards against an interim response within or before the response to another request.
    Given a listener whose responses are given by the scenario
    When the caller sends r1 and the head of w2 that expects 100-continue
    Then the running requests are r1
    And no response has been received
    When the handler answers r1
    Then the responses received are r1 100
    And the connection stays open

  Scenario: A planned stop answers what runs and starts nothing else
    # Guards against requests that ran and weren't answered, and against a close before the last.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2 w3 r4
    Then the running requests are r1 r2
    When draining starts
    And the caller sends the list r5
    And the handler answers r1
    Then the responses received are r1
    And the connection stays open
    And the running requests are r2
    When the handler answers r2
    Then the responses received are r1 r2
    And the last one closes the connection
    And the requests that ran are r1 r2
    And no request is in progress, once the caller has left

  Scenario: A request that arrives during a planned stop doesn't start behind others
    # Guards against a connection that stays open for as long as its caller sends requests.
    Given a listener whose responses are given by the scenario
    When the caller sends the list r1 r2
    Then the running requests are r1 r2
    When draining starts
    And the caller sends the list r3
    Then the running requests are r1 r2
    When the handler answers r2 r1
    Then the responses received are r1 r2
    And the last one closes the connection
    And no request is in progress, once the caller has left

  Scenario: Routes of the configuration decide which requests of a gateway overlap
    # Guards against a gateway whose listener isn't connected with the configuration in force.
    Given a gateway and 1 backend servers
    When a caller pipelines 3 reads and a write, of which each takes 300 ms
    Then the reads run at once, the write after them, and all are answered in order

  Scenario: A planned stop of a gateway loses no request that was sent to an endpoint
    # Guards against a close that overtakes the responses to requests behind the first.
    Given a gateway and 1 backend servers
    When a caller pipelines 3 reads and a write, and the gateway is told to leave meanwhile
    Then the reads are answered, the last one closes, and the write has not been sent

  Scenario: A disconnect ends the work on all requests at the endpoints
    # Guards against requests that occupy slots for a caller that is gone.
    Given a gateway and 1 backend servers
    When a caller pipelines 3 reads that stay unanswered, and leaves
    Then the work on 3 requests has been ended, and none was sent later

  Scenario: A disconnect ends a large response of an endpoint that was not read yet
    # Guards against connections to endpoints that stay open after their caller has left.
    Given a gateway and 1 backend servers
    When a caller leaves while a large response waits behind a request that stays unanswered
    Then the work on 2 requests has been ended, and none was sent later

  Scenario: The bounds hold whatever the order in which requests end
    # Guards against a sequence of events that breaks the order, a bound, or stops progress.
    Then 500 random pipelines keep order, bounds and progress
