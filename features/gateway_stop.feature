Feature: A planned stop of a gateway ends each request that it has begun

  Scenario: The log names the requests that the end of a planned stop breaks off
    # Guards against requests that end without a line in the log.
    Given a gateway whose planned stop takes 1.2 s, and 1 backend servers that stay silent
    When a caller reads with a limit of 60 s, and the gateway is told to stop meanwhile
    Then the log names that request as broken off, with the endpoint and the time that it had left
