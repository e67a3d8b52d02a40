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
