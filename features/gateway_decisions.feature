Feature: Decisions of a gateway
  What is decided from what is known, on a clock of its own and without input or output.

  Scenario: The longest prefix of the host decides
    Given routes for "/", "/a/" and "/a/b/" of one host and "/" of another
    Then each path of either host finds its own route, and an unknown host none

  Scenario: A configuration travels between peers unchanged
    Given routes for "/", "/a/" and "/a/b/" of one host and "/" of another
    Then its document gives the same configuration

  Scenario: Parts of a route get their shares
    Given a route with parts of weight 90 and 10
    Then of 200 requests within 2 go to the part of weight 10 as its share says

  Scenario Outline: A choice weighs few endpoints, however many there are
    Given a service of <endpoints> endpoints, a quarter of them slow
    Then a choice weighs at most 40 of them and finds one at its usual pace
    When all of them are full
    Then a line of 16 requests that wait weighs none of them once it has seen that they are full
    When one of them has room again
    Then a request that waits starts there

    Examples:
      | endpoints |
      | 20        |
      | 300       |
      | 2000      |

  Scenario: An endpoint found full is looked at again, as counts go out of date
    Given a service of 300 endpoints, a quarter of them slow
    When all of them are full by what a peer said that is silent since
    Then a second later a choice finds one again

  Scenario: For an incarnation the newest record wins, in whatever order records come
    Given a registry
    When the records of an incarnation come in every order
    Then the registry always ends as the newest says

  Scenario: An incarnation that is gone does not come back through an older list
    Given a registry with 4 backend servers
    When one is gone and a list from before that is read
    Then it stays gone after its hold time

  Scenario: An entry that vanishes is held for less than two seconds
    Given a registry with 4 backend servers
    When one of them vanishes
    Then it is held at first and gone 1.9 seconds later

  Scenario: Entries that vanish all at once are held until they may be back
    Given a registry with 4 backend servers
    When all of them vanish
    Then all are held 2.2 seconds later and those that come back stay

  Scenario: A draining entry that vanishes is gone at once
    Given a registry with 4 backend servers
    When one of them drains and vanishes
    Then it is gone at once

  Scenario: What a whole list no longer holds goes at the peers too
    Given a registry with 4 backend servers
    When a VM reads a whole list without one of them and tells a peer what changed
    Then both drop that one, also when the peer reads the same list

  Scenario: A VM that has read a later report than its peer takes from it that the server has left
    Given two VMs that know 4 backend servers, of which one has read a later report of the first
    When the other one finds the first missing in a whole list and tells it
    Then neither uses the first 3 s later

  Scenario: A peer that lags does not take anything back
    Given a registry with 4 backend servers and a copy of it from before a change
    When the copy is adopted
    Then the registry is as before

  Scenario: A peer gets to the same registry by the whole state or by its changes
    Given a registry with 4 backend servers
    Then another one that adopts all of it, or only the changes, holds the same

  Scenario: Requests go where the pace is usual and room is free
    Given a balancer over 6 backend servers, 3 of them in another data centre
    When one of the own data centre works 7 times as long and one is full
    Then all requests go to the third of them
    And with the own ones full they go to the other data centre

  Scenario: A backend server that this VM can't reach attracts nothing, whatever a peer reports
    Given a balancer over 6 backend servers, 3 of them in another data centre
    When this VM can't reach two of the own data centre, and a peer reports their load
    Then all requests go to the third of them

  Scenario: A stale figure is not believed
    Given a balancer over 6 backend servers, 3 of them in another data centre
    When a figure that says 7 times as long is 1600 ms old
    Then its backend server is taken for neither the best nor the worst

  Scenario: A backend server that fails its requests gets few
    Given a balancer over 6 backend servers, 3 of them in another data centre
    When one of them fails 5 requests
    Then it gets none of the next 100 requests
    And 10 seconds later it gets some

  Scenario: The load counts what neighbours have started since the last probe
    Given a load figure of 1 request
    When a neighbour starts 2 requests and this VM 1
    Then the load is 4
    And it is 1 again when the next figure says so

  Scenario: How much work an endpoint should have done follows its figures
    Given a load figure of pace 1 at 0 ms, 7 at 100 ms and 2 at 800 ms
    Then at 1000 ms it should have done 300 ms of work at the usual pace
    And a figure of 50 ms that comes late changes nothing

  Scenario: Of endpoints that are alike, one with a connection is preferred
    Given a balancer over 6 backend servers, 3 of them in another data centre
    When only one of the own data centre has an idle connection
    Then it gets most of 100 requests, and none once it is full

  Scenario: A rate of requests is that of the time that is kept
    Given an allowance that counts over 10 s
    When 50 requests have come in 5 s
    Then their rate is 10 a second
    When 60 seconds pass without any
    Then their rate is 0 a second

  Scenario: Repeats of all VMs together stay within the allowance
    Given 13 VMs with an allowance of 0.2 of the requests and 56 more in 10 s
    When each repeats as much as it may over 3 windows of 50 requests
    Then no window of any length 10 s has more repeats than are allowed

  Scenario: Waiting requests start by importance, and the least urgent are refused early
    Given a waiting line before 1 backend servers that are full
    When two requests that can be put off and an urgent one want it
    Then those that can be put off are refused after a 25th of their objective
    And the urgent one starts as soon as there is room

  Scenario: A waiting request that can't be in time any more is not kept
    Given a waiting line before 1 backend servers that are full
    When a request of priority 1 waits past its objective and for half of its time
    Then it is started or refused, and not held to its deadline

  Scenario: Two VMs read the store, and another takes over when one falls silent
    Given 5 VMs that hear each other
    Then two of them read the store within 3 seconds
    When a reader falls silent
    Then two others read within 3 seconds
    When the former reader comes back
    Then two of them read the store within 3 seconds

  Scenario: Both readers fall silent
    Given 5 VMs that hear each other
    Then two of them read the store within 3 seconds
    When both readers fall silent
    Then another one reads within 1 seconds

  Scenario: A VM that is cut off goes on naming the others
    Given 5 VMs that hear each other
    When one of them hears nobody for 10 seconds
    Then it still names all others to callers if the store doesn't answer it either, else nobody
    And the others no longer name it

  Scenario: Garbage is no message
    Given datagrams that are cut short, swapped or random
    Then each raises the one error for them

  Scenario: A flood of log lines stays within its bound
    Given an event log whose reader never reads
    When 100000 lines are noted
    Then memory stays bounded, the drops are counted and nothing has blocked
    And lines of one request are kept or dropped together
