Feature: A large response leaves room for others on a slow link
  What waits in a socket is sent ahead of what other callers and the other gateways get later.

  Scenario Outline: Little of a large response waits in the buffers of its VM
    A response of 256 KB written at once would occupy a link of 5 Mbit/s for 0.4 seconds.
    Given a listener, and a caller that takes in little at a time
    When it asks for a response of <size> KB that <way>
    Then at most 64 KB of it ever wait in the listener's buffers
    And the caller gets all of it, and then a short one on the same connection

    Examples:
      | size | way                            |
      | 250  | is known as a whole            |
      | 600  | is read in parts               |
      | 600  | is read in parts of any length |

  Scenario: Parts of large responses alternate
    A fast caller's response, written without a break, would hold all other connections.
    Given 3 connections that always take what is written
    When a response of 100 KB is written to each at once
    Then each connection gets a part in turn

  Scenario: A caller that goes away in the middle of a large response is forgotten
    The rest of its response would otherwise stay in memory.
    Given a listener, and a caller that takes in little at a time
    When it asks for a response of 250 KB that is known as a whole
    And it goes away
    Then the listener has no connection left
