Feature: A response is read only for the request or probe to which it belongs
  An endpoint may send a response a second time, in place of the next one on the connection.

  Scenario: A response that arrives twice is not read as the response to a load probe
    # Guards against the response to a probe that is read for the request sent next: a 503 for a
    # request that has run.
    Given a gateway without scheduled probes, whose log is kept, and 1 backend servers
    And it reports itself unhealthy, and sends its last response again ahead of that to a probe
    When a caller writes twice, so that a load probe precedes the second write
    Then both writes are answered 200 and ran once each
    And the response that came twice is counted and logged as not taken for the probe

  Scenario Outline: A failure that names no request doesn't promise that a request has not run
    # Guards against a failure that the endpoint sent for something else, such as a probe, read as
    # the response to a request that runs.
    Given a gateway without scheduled probes, whose log is kept, and 1 backend servers
    And it sends a <status> <source> ahead of its response to a request
    When a caller writes
    Then the answer is <answer>
    And the request ran 1 times

    Examples:
      | status | source                      | answer |
      | 503    | of its health path          | 200    |
      | 500    | of its health path          | 200    |
      | 503    | that names neither of them  | 502    |
      | 500    | that names neither of them  | 502    |

  Scenario: A request that may be repeated is sent elsewhere after a failure that names no request
    # Guards against a failure of something else that is passed on to a caller.
    Given a gateway without scheduled probes, whose log is kept, and 2 backend servers
    And the first to be asked sends a 503 that names neither of them ahead of its response to a request
    When a caller reads
    Then the answer is 200, whole and its own

  Scenario: The connection of a response that can't be used is closed
    # Guards against connections that nobody uses or closes, until an endpoint accepts no more.
    Given a gateway without scheduled probes, whose log is kept, and 1 backend servers
    And the first backend server to be asked does no-receipt
    When a caller writes
    Then the answer is 502
    And the gateway has no connection open but those kept for use

  Scenario Outline: A rejection that doesn't state that the request has not run is not passed on
    # Guards against a status that promises that the request has not run, although it may have.
    Given a gateway without scheduled probes, whose log is kept, and 1 backend servers
    And the first backend server to be asked does <what>
    When a caller writes
    Then the answer is <answer>
    And the request ran <runs> times

    Examples:
      | what            | answer | runs |
      | unavailable-ran | 502    | 1    |
      | too-many-ran    | 502    | 1    |
      | reject          | 503    | 0    |

  Scenario Outline: A response without end is broken off at once
    # Guards against a process that grows for as long as an endpoint sends, and against requests that
    # wait until their deadline for a response that never begins.
    Given a gateway without scheduled probes, whose log is kept, and 2 backend servers
    And the first to be asked sends <part> without end
    When a caller sends a <request> with a limit of 60 s
    Then the answer is <answer>
    And the endpoint's connection was closed before the gateway had read 1 MB of it

    Examples:
      | part                             | request | answer |
      | a header's value                 | write   | 502    |
      | a header's value                 | read    | 200    |
      | a header's name                  | write   | 502    |
      | the reason of its status         | write   | 502    |
      | interim responses                | write   | 502    |
      | the extension of a chunk         | write   | 502    |
      | a trailer's value                | write   | 502    |
      | trailers                         | write   | 502    |
      | the head of a response to others | write   | 502    |

  Scenario: The body of another request's response that has no end is broken off
    # Guards against a request that waits until its deadline behind a response that never ends.
    Given a gateway without scheduled probes, whose log is kept, and 2 backend servers
    And the first to be asked sends the body of a response to others without end
    When a caller sends a write with a limit of 60 s
    Then the answer is 502

  Scenario: A response to a load probe that has no end sends the request elsewhere
    # Guards against a probe that reads for as long as an endpoint sends.
    Given a gateway without scheduled probes, whose log is kept, and 2 backend servers
    When both have answered requests, and then one answers probes with a header's value without end
    And a caller writes 10 times
    Then the answers of all writes are 200, and that one ran none of them

  Scenario: A large response in many small chunks is no response without end
    # Guards against a bound on framing that breaks off a sound response.
    Given a gateway without scheduled probes, whose log is kept, and 1 backend servers
    And it answers with 200000 bytes in chunks of 1 byte
    When a caller writes
    Then the answer is 200
    And its body has 200000 bytes

  Scenario: An answer that an endpoint cuts off anywhere is never taken for a complete one
    # Guards against an answer whose head or body stops in the middle, and that is passed on with an
    # empty or short body as if it were whole.
    Then answers of each framing, cut after any byte by a close or a reset, all fail
