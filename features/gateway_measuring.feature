Feature: Each backend server is measured by one gateway, as often as it is worth
  Probes are paid for, and a figure is worth something only to a request that is placed by it.

  Scenario: Backend servers are measured by few, and another VM steps in for a silent one
    Given 5 VMs of one data centre and 30 backend servers in it
    Then each backend server is measured by one VM alone, and 3 or fewer VMs measure
    When a VM that measures has died without a sign
    Then within 450 ms each backend server is measured again
    When it is back
    Then within 150 ms each backend server is measured by one VM alone

  Scenario: In a crowded data centre the VMs that serve callers are spared the probes
    Given 41 VMs of one data centre and 60 backend servers in it
    Then in a second each backend server is measured by one VM alone, 3 measure at most
    And none of those that measure serves callers
    When a VM that measures has died without a sign
    Then within 550 ms each backend server is measured again
    When it is back
    Then in a second each backend server is measured by one VM alone, 3 measure at most

  Scenario: More backend servers than can be asked often are asked less often
    Given 41 VMs of one data centre and 1000 backend servers in it
    Then within 4 seconds each is measured, after the first by one VM alone, by 300 a second at most

  Scenario: A VM that is cut off with requests measures some backend servers for itself
    Given 41 VMs of one data centre and 60 backend servers in it
    When one that callers are sent to is cut off with 1 request in flight for 1000 ms
    Then it has figures of 24 backend servers that are 250 ms old at most
    And it does not name itself to callers, and the others no longer do after 3 seconds
    And without requests it measures nothing while it is cut off
    And it measures for itself no more

  Scenario: A gateway that is cut off says so in its log and its metrics
    Given a store with a configuration and 1 backend servers
    When 1 gateways start again at once
    When it has heard 20 neighbours for a while
    Then it says that it is not cut off
    When it hears none of them any more
    Then it says that it is cut off
    When it has heard 20 neighbours for a while
    Then it says that it is not cut off

  Scenario Outline: A VM that has just started listens before it measures all
    Given 1 VMs of one data centre and 30 backend servers in it
    When it has been started to listen for 300 ms and to measure <count> meanwhile
    Then it measures <count> before and all 30 after that

    Examples:
      | count |
      | 0     |
      | 24    |

  Scenario: A data centre without a VM is measured by few VMs of a crowded one
    Given 41 VMs of one data centre and 60 backend servers in another one
    Then in a second each backend server is measured by one VM alone, 3 measure at most

  Scenario: A data centre without a VM is measured from another one
    Given 5 VMs of one data centre and 30 backend servers in another one
    Then each backend server is measured by one VM alone, and 3 or fewer VMs measure

  Scenario: The more requests an endpoint gets, the more often it is measured
    Given 5 VMs of one data centre and 30 backend servers in it
    When each VM gets 0 requests a second
    Then each backend server is measured 5 to 7 times a second
    When each VM gets 24 requests a second
    Then each backend server is measured 11 to 13 times a second
    When each VM gets 600 requests a second
    Then each backend server is measured 19 to 21 times a second
