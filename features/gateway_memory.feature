Feature: The bodies of requests fit into the memory of the VM
  A process that holds more than its VM has is killed, and all requests in progress end with it.

  Scenario Outline: Large bodies at the same time don't take up the memory of the smallest VM
    # Guards against bodies that are bounded each, but not together, or held several times over.
    Given a gateway process whose settings don't give its memory, with a backend server
    When callers send <count> bodies of <size_mb> MB at once <how>, while others make small writes
    Then the process has never held more than 200 MB
    And all small writes are answered 200
    And <served> or more of the bodies are answered 200, the others 503 with a time to return, not run

    Examples: Framings
      | count | size_mb | how                 | served |
      | 3     | 60      | with their length   | 3      |
      | 10    | 60      | with their length   | 3      |
      | 2     | 60      | in chunks           | 2      |
      | 1     | 4       | in chunks of 2 bytes | 1     |

  Scenario: A body waits until another one has left it memory
    # Guards against a body that is refused or forgotten while it waits.
    Given a gateway with memory for one body of 300 KB, and a backend server
    When a caller has sent half of a body of 300 KB, and another one begins to send one
    Then the second body waits
    And a small write is answered 200
    When the first caller disconnects
    Then the second body is answered 200

  Scenario: The interim response to a body that has to wait comes when there is memory for it
    # Guards against a caller that is asked for a body for which there is no memory.
    Given a gateway with memory for one body of 300 KB, and a backend server
    When a caller has sent half of a body of 300 KB, and another one asks whether to send one
    Then the second body waits
    When the first caller disconnects
    Then the second caller is asked for its body and answered 200

  Scenario: A planned stop rejects the bodies that wait
    # Guards against a caller that waits for memory at a gateway that will not serve it any more.
    Given a gateway with memory for one body of 300 KB, and a backend server
    When a caller has sent half of a body of 300 KB, and another one begins to send one
    Then the second body waits
    When a planned stop begins at the gateway
    Then the second body is answered 503 with a time to return, and did not run

  Scenario: A body that can never fit is refused at its head
    # Guards against a body that waits for memory that the VM doesn't have, until its caller gives up.
    Given a gateway with memory for one body of 300 KB, and a backend server
    When a caller sends the head of a request with a body of 500 KB
    Then it is answered 503 with a time to return before it has sent the body

  Scenario: A body over the limit of the configuration is refused at its head
    # Guards against memory that is reserved for a body that will be rejected.
    Given a gateway with memory for one body of 300 KB, and a backend server
    When a caller sends the head of a request with a body of 500 MB
    Then it is answered 413 before it has sent the body

  Scenario: Bodies of any size, in any order, are all received in the end
    # Guards against bodies that have been received in part and block each other for ever.
    Then no sequence of reservations exceeds the memory or ends with bodies that wait for each other

  Scenario: A slow body gives up its memory while others wait
    # Guards against one caller that keeps others waiting by sending next to nothing.
    Given a budget that one body takes up while another one waits
    When the first body has received next to nothing for 5 s
    Then it is refused and the second one granted
