Feature: What gateways tell each other stays cheap as the fleet grows
  Bytes between data centres are paid for, and a VM can't hear every other one all the time.

  Scenario: A message crosses to another data centre once and reaches all of it
    Given 3 gateways in each of two data centres and a backend server in each
    Then every gateway knows the other 5
    And in 2 seconds one that does not read the store sends the other at most 4 heartbeats
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

  Scenario: A crowded fleet sends heartbeats more seldom, and no VM is taken for dead by that
    Given 41 VMs in each of two data centres that know each other
    Then each hears at most 40 heartbeats in a second
    And after 20 seconds each knows all neighbours and 20 VMs elsewhere to be alive
    And all of a data centre name the same 12 of its VMs to callers

  Scenario: What a VM hears doesn't grow with the number of standby VMs
    Given 110 VMs in each of two data centres that know each other
    Then each hears at most 45 heartbeats in a second
    And after 20 seconds each knows all neighbours and 20 VMs elsewhere to be alive

  Scenario: VMs that are not heard count where what all may use is shared out
    Given a VM that hears 20 of 63 VMs of another data centre and 62 neighbours
    Then it shares with 125 others
    When all that it hears from there are silent for a minute
    Then it shares with 125 others

  Scenario: A standby VM reads what it is told together, and one with requests at once
    Given 41 VMs in each of two data centres that know each other
    Then one that callers are sent to hears at once
    And one that would be next hears within 10 ms, and any other one within 100 ms
    And one that has a request hears at once
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
    Given 41 VMs of one data centre, to each of which callers send 8 requests a second
    Then 12 of them serve callers
    Given 41 VMs of one data centre, to each of which callers send 32 requests a second
    Then 32 of them serve callers

  Scenario: A VM that is cut off goes on naming those that callers were sent to
    Given 41 VMs in each of two data centres that know each other
    When one of them is cut off from all others and from the store
    Then 4 seconds later it names the same 12
    And 6 seconds later it names the same 12

  Scenario Outline: VMs that are dead for long are named to no caller, however many there are
    Given <count> VMs in each of two data centres that know each other
    When all others but one are killed
    Then 6 seconds later it names itself alone

    Examples:
      | count |
      | 3     |
      | 41    |

  Scenario: Who misses a change asks for the state, also before a heartbeat says that there is news
    Given 41 VMs of one data centre
    Then a change that builds on more than one knows makes it fetch the state

  Scenario: All VMs of a large data centre request a configuration from the one VM elsewhere that has it
    Given 44 VMs of one data centre that know a VM of another one
    When that VM announces a configuration and backend servers
    Then no more than 4 of them request the configuration from it within 250 ms
    And all request it in the end if no neighbour announces it, and the backend servers at once

  Scenario: A state is fetched from whoever has it by then
    Given 41 VMs of one data centre
    Then one that is behind asks a neighbour that has the version, and another one if none answers

  Scenario: Changes reach a data centre whose next relay is dead
    Given a VM with 3 VMs in another data centre
    When it tells a change of the registry while the next relay is dead
    Then the other two there have been sent it too

  Scenario: Who is behind is told what it lacks, not the whole registry
    Given two registries of 60 endpoints that agree
    When at one of them a few endpoints change, end, vanish and come back, 30 times over
    Then each time the other knows the same after it has asked, by 10 rows at most

  Scenario: A state makes nobody seem to know more than its sender
    Given two registries of 60 endpoints that agree
    When at one of them all endpoints report again, and one has changed before
    Then the other has the same version after it has asked
