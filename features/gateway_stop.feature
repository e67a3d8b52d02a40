Feature: A planned stop of a gateway ends each request that it has begun

  Scenario: The log names the requests that the end of a planned stop breaks off
    # Guards against requests that end without a line in the log.
    Given a gateway whose planned stop takes 1.2 s, and 1 backend servers that stay silent
    When a caller reads with a limit of 60 s, and the gateway begins a planned stop meanwhile
    Then the log names that request as broken off, with the endpoint and the time that it had left
    And explain says that it was broken off

  Scenario Outline: A request that the stop may break off is rejected at once, and others are served
    # Guards against requests that are accepted late in a planned stop and broken off at its end.
    Given a gateway whose planned stop takes 30 s, and 2 backend servers that answer
    When the gateway begins a planned stop, and then a caller sends a <method> with a limit of <limit> s
    Then the answer is <status>, and <runs> requests have run

    Examples:
      | method     | limit | status | runs |
      | read       | 60    | 503    | 0    |
      | write      | 60    | 503    | 0    |
      | read       | 20    | 200    | 1    |
      | write      | 20    | 200    | 1    |
      | short read | 60    | 200    | 1    |

  Scenario: A request that waits for a slot and may be broken off is rejected as the stop begins
    # Guards against a wait in the queue that ends too late for the request, or not at all.
    Given a gateway whose planned stop takes 30 s, and 1 backend servers that stay silent
    And its slots are in use, and reads with limits of 60 s and 20 s wait for one
    When the gateway begins a planned stop
    Then the read with a limit of 60 s is answered 503, has not run, and the other one still waits

  Scenario Outline: No attempt begins that the stop may break off
    # Guards against a retry or hedged attempt, or a request sent on, late in a planned stop.
    Given a gateway whose planned stop takes 30 s, and 2 backend servers that stay silent
    When a caller sends a read with a limit of 60 s, the gateway begins a planned stop, and <what>
    Then <runs> requests have run, and the answer is <status>

    Examples:
      | what                           | runs | status |
      | its endpoint crashes           | 1    | 502    |
      | its endpoint becomes slow      | 1    | none   |

  Scenario: A request whose connection opens only after the stop has begun is not sent
    # Guards against an attempt that had begun before the stop and is sent after it.
    Given a gateway whose planned stop takes 30 s, and 1 backend servers that answer
    When the stop begins while a write with a limit of 60 s waits for its load probe
    Then the write is answered 503 and has not run

  Scenario Outline: What a planned stop accepts
    # Guards against a stop that ends before the deadline of a request that it has accepted late, and
    # against rejections early in a stop of requests that end long before it does.
    Given a planned stop of <stop> s that has begun
    Then a <kind> that is expected to take <work> s, sent <after> s later with a timeout of <timeout> s, is <decision>

    Examples:
      | stop | kind  | work | after | timeout | decision |
      | 6    | write | 0.4  | 0     | 5       | accepted |
      | 6    | write | 0.4  | 0.2   | 5       | rejected |
      | 6    | write | 2    | 3.2   | 1.5     | accepted |
      | 6    | write | 0.4  | 3.2   | 2       | rejected |
      | 6    | read  | 0.4  | 0.2   | 5       | accepted |
      | 6    | read  | 0.4  | 1.7   | 5       | accepted |
      | 6    | read  | 2.5  | 1.7   | 5       | rejected |
      | 6    | read  | 0.4  | 2.5   | 5       | rejected |
      | 6    | read  | 0.4  | 3.1   | 5       | rejected |
      | 10   | read  | 0.4  | 2.9   | 9       | accepted |
      | 10   | read  | 0.4  | 3.1   | 9       | rejected |
      | 10   | write | 0.4  | 3     | 6       | accepted |
      | 10   | write | 0.4  | 5.4   | 4       | rejected |
      | 30   | read  | 0.4  | 3.1   | 60      | rejected |
