Feature: A gateway reads a request as its caller has sent it, or rejects it

  Scenario Outline: A request that offers an upgrade is served as if it didn't
    # Guards against a body that is lost because the parser takes it for the other protocol.
    Given a gateway and 1 backend servers
    When a caller writes with a body and the offer <offer>, <framing> and <sent>
    Then the answer is 200
    And its endpoint got the body, its length, and no header of the offer
    And the caller's connection closes after the answer

    Examples:
      | offer     | framing         | sent                       |
      | h2c       | with a length   | at once                    |
      | h2c       | with a length   | in pieces of 1 byte        |
      | h2c       | in chunks       | at once                    |
      | h2c       | in chunks       | in pieces of 7 bytes       |
      | h2c       | with a length   | after a 100 Continue       |
      | websocket | without a body  | at once                    |

  Scenario: A request to connect elsewhere is rejected
    # Guards against a tunnel request that is read again like an offer of an upgrade.
    Given a gateway and 1 backend servers
    When a caller sends a CONNECT request
    Then the answer is 400
    And no backend server has seen anything

  Scenario Outline: A request without end is rejected at once
    # Guards against a process that grows for as long as a caller sends what is never complete.
    Given a gateway and 1 backend servers
    When a caller sends <part> without end
    Then it is answered 431, and less than 600000 bytes have been parsed
    And no backend server has seen anything

    Examples:
      | part                     |
      | a header's value         |
      | a header's name          |
      | a request target         |
      | blank lines              |
      | the extension of a chunk |
      | a trailer's value        |
      | trailers                 |

  Scenario Outline: A head that just keeps to its limit, and a body in many small chunks, are read
    # Guards against a bound on framing that rejects sound requests.
    Given a gateway and 1 backend servers
    When a caller writes with <what>
    Then the answer is 200

    Examples:
      | what                                   |
      | headers of 32000 bytes in 400 of them  |
      | a body of 50000 chunks of 1 byte       |
