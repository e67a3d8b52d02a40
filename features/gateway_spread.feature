Feature: What gateways tell each other stays cheap as the fleet grows
  Bytes between data centres are paid for, and a VM can't hear every other one all the time.

  Scenario: A message crosses to another data centre once and reaches all of it
    Given 3 gateways in each of two data centres and a backend server in each
    Then every gateway knows the other 5
    And in 2 seconds one that does not read the store sends the other at most 4 beats
    When the configuration and the backend servers change
    Then all gateways follow
    When the backend server works 7 times as long
    Then all gateways know that pace

  Scenario: A configuration crosses to another data centre once for each reader
    Given 3 gateways in each of two data centres and a backend server in each
    Then every gateway knows the other 5
    When the configuration changes, and neighbours wait long for each other
    Then every gateway has it, and it has crossed 2 times at most

  Scenario: Changes are told with the version that they build on
    Given 1 gateways and 1 backend servers
    When it has learned of a change from a peer and reads the next one in the store
    Then what it passes on builds on the peer's version

  Scenario: Figures of one round of probes share a datagram, and other data centres hear changes
    Given a VM that measures 12 backend servers, with 2 neighbours and a VM elsewhere
    When it measures all of them
    Then each neighbour gets 1 datagram and the VM elsewhere gets 1
    When it measures all of them 100 ms later and nothing has changed
    Then each neighbour gets 1 datagram and the VM elsewhere gets 0
    When it measures all of them 200 ms later and one is 7 times as slow
    Then each neighbour gets 1 datagram and the VM elsewhere gets 1
    When it measures all of them 1300 ms later and nothing has changed
    Then each neighbour gets 1 datagram and the VM elsewhere gets 1

  Scenario: What has waited through a pause is not relayed
    Given a VM with 3 neighbours that are alive
    When a message to be relayed comes
    Then each neighbour gets it
    When the VM has stood still and finds another one in its socket
    Then no neighbour gets it
    When a message to be relayed comes 300 ms later
    Then each neighbour gets it

  Scenario: A dead VM loses its turn only
    Given a VM with 3 VMs in another data centre
    When it sends 6 messages there
    Then each of the three relays 2 of them

  Scenario: Counts in flight are told to a few neighbours, and not to many
    Given 41 VMs of one data centre
    Then each tells its counts in flight to the same 12 that callers are sent to
    Given 7 VMs of one data centre
    Then each tells its counts in flight to the 6 others

  Scenario: A crowded fleet beats more seldom, and no VM is taken for dead by that
    Given 41 VMs in each of two data centres that know each other
    Then each hears at most 40 beats in a second
    And after 20 seconds each knows all neighbours and 20 VMs elsewhere to be alive
    And all of a data centre name the same 12 of its VMs to callers

  Scenario: What a VM hears doesn't grow with the number of standby VMs
    Given 110 VMs in each of two data centres that know each other
    Then each hears at most 45 beats in a second
    And after 20 seconds each knows all neighbours and 20 VMs elsewhere to be alive

  Scenario: VMs that are not heard count where what all may use is shared out
    Given a VM that hears 20 of 63 VMs of another data centre and 62 neighbours
    Then it shares with 125 others
    When all that it hears from there are silent for a minute
    Then it shares with 125 others

  Scenario: A standby VM reads what it is told together, and one with requests at once
    Given 41 VMs in each of two data centres that know each other
    Then one that callers are sent to hears within 10 ms, and a standby one within 100 ms
    And a standby one that has a request hears within 10 ms
    Given 7 VMs of one data centre
    Then each of these few hears at once

  Scenario: Datagrams that come while a VM waits are read together
    Given a port that reads what comes within 40 ms together
    When 30 datagrams come, 2 ms apart
    Then all have been read in order, in a wake-up for each 40 ms
    When a datagram comes after a pause
    Then it is read at once
    When a message that it gets makes its reader fail
    Then it reads the next one all the same

  Scenario: VMs that start again read the store once each, and two follow it
    Given a store with a configuration and 2 backend servers
    When 6 gateways start again at once
    Then all are ready after 2 calls of each to the store, and none follows it yet
    And after a while 2 of them follow it, and who never did has made no more calls

  Scenario: Load figures go to those that place requests, or may soon
    Given 41 VMs in each of two data centres that know each other
    Then 20 of a data centre are told load figures, of which callers are sent to 12
    And one that has requests all the same is told load figures too

  Scenario: Dead VMs of another data centre are not asked to pass on news for long
    Given 41 VMs in each of two data centres that know each other
    When a third of the other data centre dies without a sign
    Then 4 seconds later nothing is sent to the dead ones to be relayed

  Scenario: Another VM takes the place of one that callers were sent to
    Given 41 VMs in each of two data centres that know each other
    When one that callers are sent to falls silent
    Then 4 seconds later another one is named in its place, and no other has changed

  Scenario: More VMs serve the callers of a crowded data centre when its load is high
    Given 41 VMs of one data centre of which each uses 5 percent of a core
    Then 12 of them serve callers
    Given 41 VMs of one data centre of which each uses 20 percent of a core
    Then 32 of them serve callers

  Scenario: A VM that is cut off goes on naming those that callers were sent to
    Given 41 VMs in each of two data centres that know each other
    When one of them is cut off from all others
    Then 4 seconds later it names the same 12
    And 6 seconds later it names the same 12

  Scenario: Who misses a change asks for the state, also before a beat says that there is news
    Given 41 VMs of one data centre
    Then a change that builds on more than one knows makes it fetch the state

  Scenario: A state is fetched from whoever has it by then
    Given 41 VMs of one data centre
    Then one that is behind asks a neighbour that has the version, and another one if none answers

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

  Scenario: A VM that is cut off with requests measures some backend servers for itself
    Given 41 VMs of one data centre and 60 backend servers in it
    When one that callers are sent to is cut off with 1 request in flight for 1000 ms
    Then it has figures of 24 backend servers that are 250 ms old at most
    And it does not name itself to callers, and the others no longer do after 3 seconds
    And without requests it measures nothing while it is cut off
    And it measures for itself no more

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

  Scenario: Who knows the seeds needs no call to the store
    Given a store and 2 gateways that are seeds
    When 3 more gateways start that know the seeds
    Then every gateway knows the other 4
    And none of the 3 has written itself down in the store

  Scenario: A data centre without a seed needs no call either
    Given a store and 2 gateways that are seeds
    When 3 more gateways of another data centre start that know the seeds
    Then every gateway knows the other 4
    And none of the 3 has written itself down in the store

  Scenario: A VM whose seeds are gone is found through the store
    Given a store and 2 gateways that are seeds
    When 3 more gateways start that know the seeds
    Then every gateway knows the other 4
    When the seeds are gone for good and a gateway starts that knows only them
    Then every gateway knows the other 3

  Scenario: An address that never answers is greeted for a while only, a seed's for good
    Given a VM that knows the address of a seed and that of a VM that was replaced
    Then in the first minute it greets both
    And after 5 minutes it greets the seed alone

  Scenario: A few VMs write themselves down when a seed falls silent
    Given 9 VMs that have met their seeds
    Then none of them needs the store
    When a seed falls silent
    Then 3 of them need the store
    When those have written themselves down and die
    Then 3 of them need the store

  Scenario: Changes reach a data centre whose next relay is dead
    Given a VM with 3 VMs in another data centre
    When it tells a change of the registry while the next relay is dead
    Then the other two there have been sent it too
