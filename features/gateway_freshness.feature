Feature: No gateway acts on a state that is older than the bound
  A gateway that reaches the store has each change in time, whatever becomes of the others and of their messages.

  Scenario: Changes reach some gateways too late, or not at all, while messages and readers are lost
    When changes are made in fleets with a bound of 2000 ms while this goes on
      | gateways | what goes on                                                        |
      | 4        | nothing                                                             |
      | 4        | one of a large fleet gets no message                                |
      | 4        | one of a large fleet gets no message and one reader ends            |
      | 4        | the readers' calls to the store are silent, and they go on beating  |
      | 6        | both readers end, and both that follow them                         |
      | 4        | a configuration of 1800 routes, while no neighbour hands it out     |
    Then every gateway that reaches the store has them within 2000 ms

  Scenario: A gateway that starts on a slow link takes its state for younger than it is
    # Guards against 404 for a new route, and the use of a server that has left, past the bound: if
    # all messages of a process are slow, none of them shows it.
    Given a fleet with a bound of 2000 ms, and a gateway to which all datagrams take 1500 ms from its start on
    And that gateway gets the state of the store from the others
    When changes are made, and it gets no datagram that is sent afterwards
    Then every gateway that reaches the store has them within 2000 ms
    And no request for the new route that is sent later than 2000 ms after the change gets 404

  Scenario: A gateway whose reads of the store take a second answers 404 while the first of them is under way
    # Guards against 404 past the bound where the call that would show the new route is slow too.
    Given a fleet with a bound of 2000 ms, and a gateway to which all datagrams take 1500 ms from its start on
    And that gateway gets the state of the store from the others
    And its reads of the store take 1000 ms
    When changes are made, and it gets no datagram that is sent afterwards
    Then no request for the new route that is sent later than 2000 ms after the change gets 404

  Scenario: A reader that takes over while a link is full is believed to be as current as it seems
    # Guards against the same where the sender is new: those that begin to read the store send the
    # first confirmations of their lives while messages are slow.
    Given a fleet with a bound of 2000 ms, and a gateway to which all datagrams take 0 ms from its start on
    And that gateway gets the state of the store from the others
    When datagrams to it begin to take 1500 ms, and both readers end
    And that gateway gets the state of the store from the others
    And changes are made, and it gets no datagram that is sent afterwards
    Then every gateway that reaches the store has them within 2000 ms
    And no request for the new route that is sent later than 2000 ms after the change gets 404

  Scenario: A vanished backend server is used past the bound because its entry is held too long
    When backend servers vanish in fleets with a bound of 2000 ms in these ways
      | gateways | how                                                          |
      | 4        | one alone                                                    |
      | 4        | half of a service at once                                    |
      | 4        | one, and the only reader had lost the store for 600 ms just before |
      | 4        | half of a service, and one of a large fleet gets no message  |
    Then no gateway uses one later than 2000 ms after it has vanished

  Scenario Outline: A gateway acts on a configuration although it knows that a newer one is overdue
    Given a gateway that has known of a newer configuration for <behind> ms, confirmed <age> ms ago
    And its last call to the store <call>
    Then it handles requests by its configuration: <handles>
    And it answers 404 for a route that it does not know: <answers>

    Examples:
      | behind | age  | call         | handles | answers |
      | 0      | 200  | was answered | yes     | yes     |
      | 0      | 1900 | was answered | yes     | yes     |
      | 0      | 1901 | was answered | yes     | no      |
      | 0      | 9000 | failed       | yes     | no      |
      | 100    | 800  | was answered | yes     | no      |
      | 1900   | 1950 | was answered | no      | no      |
      | 1900   | 1950 | failed       | yes     | no      |
      | 9000   | 9000 | failed       | yes     | no      |
      | 9000   | 200  | was answered | yes     | yes     |

  Scenario: A caller gets 404 for a new route from a gateway that waits for the new configuration
    Given 2 gateways and 1 backend servers
    When a new route is published, and one gateway gets no copy of the configuration yet
    Then that one answers 503 with a time to retry after for the new route, and serves the others
    And explain names an outdated configuration as the cause

  Scenario Outline: Messages count as delayed, or delays as none, because two clocks drift apart
    Given a VM that gets a message each 300 ms for an hour from one whose clock runs <ppm> ppm faster
    Then no message counts as delayed by more than 70 ms
    And one that waited for 500 ms counts as delayed by 430 to 570 ms

    Examples:
      | ppm  |
      | 0    |
      | 500  |
      | -500 |

  Scenario: A machine that was suspended takes its state for younger than it is
    # Guards against ages that leave out the time for which the steady clock did not run.
    Given a gateway, and a daemon of cloverhookd, that have just read the newest state
    When their machine is suspended for 4000 ms
    Then the state of both counts as 4000 ms old

  Scenario: A process that was paused doesn't take a backend server that has left for one that expired
    # Guards against an endpoint that is used past the drain time, because the VM that did not run
    # takes the gap in its confirmations for an outage of the store.
    Given a VM whose process did not run for 4000 of the 4200 ms without a confirmation
    When it learns 1600 ms later that one of 8 backend servers has vanished
    Then it uses that one for 1500 ms

  Scenario: A process that was paused for a short part of an outage still knows of the outage
    # Guards against entries that are dropped although the store was away and they will be back.
    Given a VM whose process did not run for 1000 of the 4200 ms without a confirmation
    When it learns 1600 ms later that one of 8 backend servers has vanished
    Then it uses that one for 2400 ms

  Scenario: An entry that expired during an outage is dropped before it can be back
    Given a VM that has known nothing of the store for 4500 ms
    When it learns that one of 8 backend servers has vanished
    Then it uses that one for 2400 ms
    And one that vanishes 2500 ms later for 1500 ms

  Scenario: An answer that ends before the log does confirms a state that is not the newest
    Given a store whose answers hold one record each, and 3 backend servers that a gateway does not know
    When the gateway applies the first answer
    Then its state is not confirmed by that
    When it refreshes its state
    Then it knows 3 backend servers, and its state is confirmed

  Scenario: An answer without the records that the log has confirms a state that is not the newest
    Given a store whose answers hold no record, and 3 backend servers that a gateway does not know
    When the gateway refreshes its state, that fails
    Then it knows 0 backend servers, and its state is not confirmed

  Scenario Outline: The adapter says whether an answer reaches the end of the log
    Given an answer to a read from <from> with <count> records of a log that ends at <end>
    Then it is read up to <read to>, and complete: <complete>

    Examples:
      | from | count | end | read to | complete |
      | 0    | 2     | 2   | 2       | yes      |
      | 0    | 2     | 5   | 2       | no       |
      | 5    | 0     | 5   | 5       | yes      |
      | 4    | 0     | 5   | 4       | no       |
      | 7    | 0     | 5   | 7       | no       |

  Scenario: An answer that leaves out deleted records gives the later ones earlier positions
    Given an answer to a read from 3 with 1 records of a log that begins at 5
    Then the history from there on is lost
