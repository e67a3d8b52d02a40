Feature: A gateway between callers and backend servers that come and go
  Each request ends once, with the right answer or a refusal that is true.

  Scenario: A request goes to a backend server and its whole answer comes back
    Given a gateway and 2 backend servers
    When a caller sends a request with a body and headers of its own
    Then the backend server gets method, path, query, body and identifier unchanged
    And it gets the time that is left, its own incarnation and no header of a connection
    And the caller gets its body and receipt, and not its load

  Scenario Outline: An idempotent request survives a backend server that fails
    Given a gateway and 2 backend servers
    And the first backend server to be asked does <what>
    When a caller reads
    Then the answer is 200, whole and its own

    Examples:
      | what           |
      | reject         |
      | reset          |
      | reset-unread   |
      | error          |
      | half           |
      | no-receipt     |
      | unframed-reset |
      | foreign        |
      | unframed       |

  Scenario Outline: A request that may run once runs once
    Given a gateway and 2 backend servers
    And the first backend server to be asked does <what>
    When a caller writes
    Then the answer is <status>
    And the request ran <runs> times

    Examples:
      | what           | status | runs |
      | reject         | 200    | 1    |
      | reset          | 502    | 1    |
      | reset-unread   | 502    | 0    |
      | error          | 500    | 1    |
      | half           | 502    | 1    |
      | no-receipt     | 502    | 1    |
      | unframed-reset | 502    | 1    |
      | foreign        | 200    | 1    |
      | unframed       | 200    | 1    |

  Scenario: A request that may run once avoids a backend server that has just turned slow
    Given a gateway that measures nothing and 2 backend servers
    When callers have read from both of them, and then one works 7 times as long
    And a caller writes 10 times
    Then all answers are 200 and the slow one ran none of them
    And the connection over which it was asked is kept for use

  Scenario: A request that may run once is not sent where a question finds nobody
    Given a gateway that measures nothing and 2 backend servers
    When callers have read from both of them, and then one answers no question
    And a caller writes 10 times
    Then all answers are 200 and the slow one ran none of them

  Scenario: A refusal says when to come back, and is true
    Given a gateway and 2 backend servers
    And every backend server rejects all requests
    When a caller writes
    Then the answer is 503 with a time to come back
    And the request ran 0 times

  Scenario: At the route's timeout the caller gets its final answer
    Given a gateway and 1 backend servers
    And a route of 300 ms to a backend server that stays silent
    When a caller writes on that route
    Then the answer is 504
    And the work at the backend server has ended

  Scenario: The work ends when its caller leaves
    Given a gateway and 1 backend servers
    And every backend server stays silent
    When a caller leaves after its request has arrived there
    Then the work at the backend server has ended

  Scenario: A silent backend server gets company while the caller waits
    Given a gateway and 2 backend servers
    And the first backend server to be asked does silent
    When a caller reads
    Then the answer is 200, whole and its own
    And the request ran 2 times

  Scenario Outline: A silent backend server gets company only while most others have room
    Given a gateway and 4 backend servers of which <full> have no slot free
    And the first backend server to be asked does silent
    When a caller reads
    Then <seen> backend servers have seen it

    Examples:
      | full | seen |
      | 1    | 2    |
      | 2    | 1    |

  Scenario: A fallen pace brings company to a read that has just begun, not to a later one
    Given a gateway that measures nothing and 2 backend servers
    And work that takes 400 ms
    When the pace of its backend server falls 300 ms after a read has begun
    Then 1 backend servers have seen the read
    When the pace of its backend server falls 30 ms after a read has begun
    Then 2 backend servers have seen the read

  Scenario: An address that belongs to another incarnation now runs nothing
    Given a gateway and 1 backend servers
    And its address belongs to another incarnation now
    When a caller writes
    Then the answer is 503 with a time to come back
    And the request ran 0 times

  Scenario: A new version of the configuration is followed, an older one is not
    Given a gateway and 1 backend servers
    When a version adds a route and an older version follows it
    Then the route stays in force
    And a host without a route gets 404

  Scenario: A gateway that knows no configuration refuses and is not ready
    Given a gateway whose store holds nothing
    When a caller reads
    Then the answer is 503 with a time to come back
    And the gateway is not ready

  Scenario: A backend server that drains gets nothing new
    Given a gateway and 2 backend servers
    When one backend server reports that it drains
    Then 20 further requests all go to the other one

  Scenario: A planned stop cuts nothing
    Given a gateway and 1 backend servers
    And each request takes 400 ms
    When the gateway is told to leave while 5 requests run
    Then it is not ready, serves the next caller and closes that connection
    And all requests were answered and the gateway has ended

  Scenario: Requests that no parser should agree on are turned away
    Given a gateway and 1 backend servers
    Then a request with two lengths, or a length and chunks, or two hosts is refused
    And no backend server has seen anything

  Scenario: A gateway whose address is taken says so and ends
    Given a gateway and 1 backend servers
    When another one is started at its callers' address
    Then it ends with 3 and a line that names the address

  Scenario: Settings that are no text are refused with the file's name
    Given a settings file that is no text
    Then a gateway, a daemon and the tool refuse it with one fault that names it
