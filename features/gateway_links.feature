Feature: Gateways that lose their links to backend servers
  Callers, the store and the other gateways still reach such a gateway.

  Scenario: A gateway names the backend servers that it does not reach
    Given 2 gateways and 3 backend servers, and callers at both gateways
    When the first gateway loses its links to all of them
    Then its log says of each of them when it was lost, and how that showed
    And its metrics count 3 links as down, and those of the other gateway none
    When it has them again
    Then its log says of each of them that it is reached again, and for how long it was not
    And its metrics count 0 links as down, and those of the other gateway none

  Scenario: A gateway does not take its links for lost because its own process has stalled
    Given 2 gateways and 3 backend servers, and callers at both gateways
    When the process stalls for 400 ms while the first gateway checks its links
    Then the checks find all links working

  Scenario: Checks of links leave connections open that count towards the limits of endpoints
    Given 2 gateways and 3 backend servers, and callers at both gateways
    When the first gateway checks its links 20 times
    Then its checks have left 1 connection open to each backend server at most

  Scenario: A payment that may have run is not held back by checks of links
    Given 2 gateways and 3 backend servers, and callers at both gateways
    When the first gateway checks its links for 400 ms, and all backend servers reset a payment
    Then the payment is answered 502 within 200 ms

  Scenario: Gateways that reach all backend servers stop serving because others reach none
    When some gateways lose their links to all backend servers for 4 s
      | gateways | cut | backend servers | links  |
      | 12       | 4   | 6               | reset  |
      | 12       | 6   | 8               | hang   |
      | 4        | 3   | 6               | reset  |
    Then from 1 s after the cut to its end the other gateways serve 0.97 of their first tries

  Scenario: Callers of gateways without links to any backend server are not served
    When some gateways lose their links to all backend servers for 4 s
      | gateways | cut | backend servers | links       |
      | 4        | 2   | 6               | reset       |
      | 4        | 2   | 6               | hang        |
      | 4        | 2   | 6               | one way     |
      | 4        | 2   | 6               | new refused |
      | 12       | 4   | 6               | reset       |
      | 12       | 11  | 8               | hang        |
      | 12       | 4   | 6               | lossy       |
    Then from 1 s after the cut to its end all gateways serve 0.97 of their first tries

  Scenario: Callers are served whichever links are lost, and while links come and go
    When gateways lose links for 4 s in these ways
      | gateways | cut | backend servers | links       | how                                   |
      | 6        | 3   | 6               | reset       | to half of the backend servers        |
      | 6        | 3   | 6               | hang        | to half of the backend servers        |
      | 6        | 3   | 6               | reset       | to all, for 700 ms of each 1000 ms    |
      | 6        | 3   | 6               | hang        | to all, for 700 ms of each 1000 ms    |
      | 6        | 3   | 6               | reset       | to all, while the store is away       |
      | 6        | 3   | 6               | hang        | to all, all VMs of one data centre    |
      | 6        | 2   | 6               | reset       | to all, the VMs that measure          |
    Then from 1 s after the cut to its end all gateways serve 0.95 of their first tries

  Scenario: Callers are served while a gateway reaches only endpoints that their requests may not use
    When gateways lose links for 3 s in these ways
      | gateways | cut | backend servers | links | how                                             |
      | 4        | 2   | 6               | reset | to all that are not draining                    |
      | 4        | 2   | 6               | hang  | to all that are not draining                    |
      | 4        | 2   | 6               | reset | to all in the region that the routes are served in |
      | 4        | 2   | 6               | hang  | to all in the region that the routes are served in |
    Then from 1 s after the cut to its end all gateways serve 0.97 of their first tries

  Scenario: Requests wait for a rejection while no gateway reaches any backend server
    When some gateways lose their links to all backend servers for 4 s
      | gateways | cut | backend servers | links |
      | 4        | 4   | 4               | reset |
      | 4        | 4   | 4               | hang  |
    Then from 1 s after the cut to its end 0.97 of the requests are rejected within 150 ms
    And from 1 s after its end all gateways serve 0.97 of their first tries

  Scenario Outline: What a VM has found of its links decides which endpoints it uses
    Given a VM with links to <all> endpoints of a service
    When these links change: <events>
    Then after <at> ms it uses all but <down>, and reaches the service: <reach>
    And it checks <checks> of the links at that time

    Examples: a single link
      | all | events                        | at   | down | reach | checks |
      | 6   | i-0 refused at 0              | 10   | i-0  | yes   | 0      |
      | 6   | i-0 refused at 0              | 60   | i-0  | yes   | 1      |
      | 6   | i-0 refused at 0              | 9000 | i-0  | yes   | 1      |
      | 6   | i-0 refused at 0, works at 60 | 60   | none | yes   | 0      |
      | 1   | i-0 refused at 0              | 10   | i-0  | no    | 0      |

    Examples: links that fail in a row
      | all | events                                                      | at  | down | reach | checks |
      | 6   | i-0 refused at 0, i-1 refused at 9                          | 10  | i-0 i-1 | yes | 4     |
      | 6   | i-0 refused at 0, i-1 refused at 9, i-2 refused at 10, i-3 refused at 10, i-4 refused at 10, i-5 refused at 10 | 10 | all | no | 3 |
      | 6   | i-0 refused at 0, i-1 refused at 9, i-2 refused at 10, i-3 refused at 10, i-4 refused at 10, i-5 works at 10 | 10 | i-0 i-1 i-2 i-3 i-4 | yes | 0 |
      | 6   | i-0 refused at 0, i-2 works at 5, i-1 refused at 9          | 10  | i-0 i-1 | yes | 0     |
      | 6   | i-0 refused at 0, i-1 refused at 9, i-2 works at 12         | 20  | i-0 i-1 | yes | 0     |
      | 6   | i-0 refused at 0, i-1 refused at 1100                       | 1101 | i-0 i-1 | yes | 1    |

    Examples: links that come and go
      | all | events                                                                 | at  | down | reach | checks |
      | 6   | i-0 refused at 0, works at 50, refused at 60, works at 120             | 120 | i-0  | yes   | 1      |
      | 6   | i-0 refused at 0, works at 50, refused at 60, works at 120, works at 1120 | 1120 | none | yes | 0     |

  Scenario Outline: All VMs together check an endpoint that none of them reaches more than 20 times a second
    Given a VM in a fleet of <vms> with links to 6 endpoints of a service
    When the link to i-0 fails, and each check of it
    Then it checks that link at most <checks> times from 20 s to 80 s afterwards
    When another VM has a report of i-0
    Then it checks that link within 1100 ms

    Examples:
      | vms | checks |
      | 13  | 61     |
      | 132 | 9      |
      | 300 | 4      |

  Scenario Outline: Reports of links fill the VMs' own links where an endpoint hangs for every VM
    Given <vms> VMs in each of two data centres that know each other now
    When 30 endpoints hang for all of them, and come and go for 3 s
    Then each receives at most 22 KB of reports of links a second

    Examples:
      | vms |
      | 7   |
      | 20  |
      | 44  |

  Scenario Outline: An endpoint that is full and answers nothing is taken for one whose link is lost
    Given a VM with links to 6 endpoints of a service
    And the endpoint i-0 has reported <running> requests on its 4 slots <ago> ms ago
    And another endpoint has answered <contact> ms ago
    When the link to i-0 fails: <failure>
    Then the link to i-0 is <state>

    Examples:
      | running | ago  | contact | failure          | state |
      | 4       | 200  | 50      | timed-out        | up    |
      | 6       | 2000 | 50      | probe-unanswered | up    |
      | 3       | 200  | 50      | timed-out        | down  |
      | 4       | 200  | 600     | timed-out        | down  |
      | 4       | 4000 | 50      | probe-unanswered | down  |
      | 4       | 200  | 50      | refused          | down  |
      | 4       | 200  | 50      | broken-off       | down  |

  Scenario: An endpoint that registers while all links are lost is checked before requests rely on it
    Given a VM with links to 6 endpoints of a service
    When these links change: i-0 refused at 0, i-1 refused at 9, i-2 refused at 10, i-3 refused at 10, i-4 refused at 10, i-5 refused at 10
    And a further endpoint registers
    Then the service stays out of reach until any of its links works

  Scenario: Lost links are the cause of a rejection, not endpoints that are draining as well
    Given a VM with links to 3 endpoints of a service
    And the endpoint i-0 is draining
    When these links change: i-1 refused at 0, i-2 refused at 0
    Then after 200 ms requests are rejected as unreachable

  Scenario Outline: A report of another VM has a link checked, and costs nothing if the link works
    Given a VM with links to 6 endpoints of a service, of which it used i-0 <used> ms ago
    When another VM reports at 0 ms that it has not reached i-0 since <since> ms
    Then the link to i-0 is <checked>, and <result> afterwards

    Examples:
      | used   | since | checked       | result                  |
      | 20     | 5     | checked       | used if the check works |
      | 20     | 5     | checked       | down if the check fails |
      | 20     | 100   | not checked   | used                    |
      | 60000  | 5     | not checked   | used                    |

  Scenario: A VM that is wrong about one endpoint is not believed about the others for a while
    Given a VM with links to 6 endpoints of a service, of which it used all 20 ms ago
    When another VM reports that it reaches none of the 6
    Then 3 links are checked, and the 6 endpoints are the last resort for 150 ms at most
    When the first check finds a link working
    Then all 6 endpoints are used as before, and further reports of that VM have none checked for 2 s

  Scenario: Requests are placed while a VM that has lost all links reports every endpoint
    Given a VM with links to 2 endpoints of a service, of which it used all 20 ms ago
    When another VM reports that it reaches none of the 2
    Then a request that can wait no longer is placed before any check has ended

  Scenario: Requests without an answer have a link checked if the whole service is silent
    Given a VM with links to 6 endpoints of a service
    When a request that is expected to take 40 ms has been at i-0 since 0 ms
    Then the link to i-0 is checked after 250 ms and not before
    And not if another endpoint of the service has answered meanwhile
