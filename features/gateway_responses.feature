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
