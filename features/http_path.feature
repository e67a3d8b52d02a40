Feature: The path of a request
  Whatever callers and backend servers send, one request has one answer, and it is its own.

  Scenario: Requests and answers of every shape go through unchanged
    Given a daemon with a scripted backend server
    Then these answers reach a caller
      | method | path         | status | body                   | outcome |
      | GET    | /fixed       | 200    | ok                     | ran     |
      | GET    | /chunked     | 200    | 2\r\nok\r\n0\r\n\r\n   | ran     |
      | GET    | /until-close | 200    | 2\r\nok\r\n0\r\n\r\n   | ran     |
      | GET    | /204         | 204    |                        | ran     |
      | GET    | /304         | 304    |                        | ran     |
      | GET    | /early-hints | 200    | ok                     | ran     |
      | HEAD   | /head        | 200    |                        | ran     |
    And a caller in HTTP/1.0 gets a chunked answer without its chunks
    And repeated headers keep their order and hop-by-hop and forged ones are dropped
    And the backend server gets each method, target and header as the caller sent it
    And an absolute target goes before the host header
    And request identifiers that are unusable or in use are replaced
    And a chunked body and one after 100-continue arrive whole, without trailers
    And answers on one connection come in order, also when a later request is refused
    And the time spent is taken off the deadline that the backend server gets
    And connections of whole exchanges are used again, also after HEAD

  Scenario: Large bodies are streamed
    Given a daemon with a scripted backend server
    Then an upload of 64 MB grows the daemon's memory by a few MB at most
    And a download of 64 MB grows the daemon's memory by a few MB at most
    And no descriptor of the daemon is an io_uring

  Scenario: Requests that could be read in two ways, or pass a limit, are refused
    Given a daemon with small limits and a scripted backend server
    Then these requests are refused
      | form                   | status | outcome |
      | two lengths            | 400    | not-run |
      | a list of lengths      | 400    | not-run |
      | a signed length        | 400    | not-run |
      | length and coding      | 400    | not-run |
      | coding and length      | 400    | not-run |
      | unknown coding         | 400    | not-run |
      | two codings            | 400    | not-run |
      | repeated coding        | 400    | not-run |
      | coding in HTTP/1.0     | 400    | not-run |
      | folded header          | 400    | not-run |
      | bare LF                | 400    | not-run |
      | bare CR                | 400    | not-run |
      | space before colon     | 400    | not-run |
      | NUL in a value         | 400    | not-run |
      | empty header name      | 400    | not-run |
      | no host                | 400    | not-run |
      | two hosts              | 400    | not-run |
      | HTTP/2.0               | 400    | not-run |
      | tunnel                 | 400    | not-run |
      | fragment               | 400    | not-run |
      | user in the target     | 400    | not-run |
      | upgrade with a body    | 400    | not-run |
      | many headers           | 431    | not-run |
      | large header           | 431    | not-run |
      | long target            | 431    | not-run |
      | large length           | 413    | not-run |
      | large chunked body     | 413    | unknown |
      | bad chunk size         | 400    | unknown |
      | heavy chunk extensions | 400    | unknown |
      | slow head              | 408    | not-run |
      | slow body              | 408    | unknown |

  Scenario: Failures of a backend server are told with their outcome
    Given a daemon with a scripted backend server
    Then these failures end as told
      | method | path               | status | outcome | error          | ran | retry |
      | POST   | /cut               | 502    | unknown | connection-cut | 1   | no    |
      | POST   | /hang              | 504    | unknown | deadline-in-run | 1  | no    |
      | POST   | /two-lengths       | 502    | unknown | bad-answer     | 1   | no    |
      | POST   | /length-and-coding | 502    | unknown | bad-answer     | 1   | no    |
      | POST   | /other-coding      | 502    | unknown | bad-answer     | 1   | no    |
      | POST   | /upgrade           | 502    | unknown | bad-answer     | 1   | no    |
      | POST   | /bare-upgrade      | 502    | unknown | bad-answer     | 1   | no    |
      | POST   | /not-http          | 502    | unknown | bad-answer     | 1   | no    |
      | POST   | /long-head         | 502    | unknown | bad-answer     | 1   | no    |
    And an answer that breaks after its head breaks the caller's connection
    And bytes that nobody asked for reach no caller
    And stale answers on an idle connection reach no later caller

  Scenario: A caller that leaves cancels its request
    Given a daemon whose requests may take a minute
    When callers leave with a running and with waiting requests
    Then the backend server's connections close and no waiting request is started

  Scenario: A request is sent again only when it certainly did not run
    Given a daemon with two scripted backend servers
    Then a small refused POST is sent again and a large one is answered at once
    And a request that may have run is not told as not run after a later refusal

  Scenario: In a chain of calls only the layer next to the failure sends again
    Given a daemon with two scripted backend servers
    Then of a chain of calls only the layer next to the refusal sends again

  Scenario: No part of an answer waits for the acknowledgement of the one before
    Given a listener that answers in two parts
    Then its connections send each part at once

  Scenario: An answer that nobody asked for is not taken for the next one
    Given an idle connection to a backend server
    When the backend server sends bytes in the moment before the connection is used again
    Then another connection is used

  Scenario: An exchange that has ended leaves nothing for the garbage collector
    Given a listener that answers in two parts
    Then the next exchange on its connection frees the one before at once
