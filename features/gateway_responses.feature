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
