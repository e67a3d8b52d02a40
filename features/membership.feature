Feature: Membership
  Which VMs take part is judged from evidence that may disagree: the platform's list, the daemons'
  own word, links and callers.  Here daemons talk in memory on a clock that the test moves.

  Scenario: A listed VM that nobody hears is not handed out
    Given 5 members that know each other
    When the list also names "vm-5" and 3 seconds pass
    Then every member hands out vm-0 to vm-4

  Scenario: A VM that is heard but not listed yet serves
    Given 5 members that know each other
    When "vm-5" starts unlisted, knowing the list, and 3 seconds pass
    Then every member hands out vm-0 to vm-5

  Scenario: A VM's own word that it leaves beats the list
    Given 5 members that know each other
    When "vm-4" says that it leaves and the list still calls all live
    Then every member hands out vm-0 to vm-3

  Scenario: A VM that the list calls leaving gets no new callers
    Given 5 members that know each other
    When the list calls "vm-4" leaving
    Then every member hands out vm-0 to vm-3

  Scenario: An older incarnation never beats a newer one
    Given 5 members that know each other
    When "vm-4" starts anew and old updates of it come late
    Then every member knows the new incarnation of "vm-4"

  Scenario: A VM that starts with its clock set back is taken in
    Given 5 members that know each other
    When "vm-4" starts anew with a lower incarnation and 3 seconds pass
    Then every member hands out vm-0 to vm-4

  Scenario: A process that was replaced while it was paused leaves
    Given 5 members that know each other
    When "vm-4" learns of a newer process under its name
    Then "vm-4" is told to leave

  Scenario: A lost VM is dropped everywhere within seconds
    Given 19 members that know each other
    When "vm-18" is lost and 3 seconds pass
    Then every member hands out vm-0 to vm-17

  Scenario: A third of the VMs lost at once is dropped everywhere
    Given 18 members that know each other
    When "vm-12" to "vm-17" are paused for good and 8 seconds pass
    Then every member hands out vm-0 to vm-11

  Scenario: A one-way cut is not taken for a lost VM
    Given 8 members that know each other
    When one neighbour of "vm-0" can't be heard by it and 10 seconds pass
    Then every member hands out vm-0 to vm-7
    And nobody was ever suspected to be lost

  Scenario: A suspected VM refutes
    Given 8 members that know each other
    When a wrong suspicion of "vm-3" is spread and 2 seconds pass
    Then every member hands out vm-0 to vm-7
    And "vm-3" has raised its sequence number

  Scenario: Two halves that lost each other find together again
    Given 10 members that know each other
    When the halves are cut from each other for 60 seconds
    Then each half hands out only itself
    When the cut ends and 15 seconds pass
    Then every member hands out vm-0 to vm-9

  Scenario: A VM that wakes from a pause does no harm with what it believed
    Given 8 members that know each other
    When "vm-0" is paused while "vm-6" and "vm-7" are lost and "vm-8" comes
    And "vm-0" wakes
    Then "vm-0" holds what it knows for doubtful
    When 3 seconds pass without anyone taking up "vm-6" or "vm-7"
    Then every member hands out all of "vm-0 vm-1 vm-2 vm-3 vm-4 vm-5 vm-8"
    And "vm-0" holds nothing for doubtful

  Scenario: A caller's report starts a check of a VM that is not watched
    Given 12 members that know each other
    When a VM that "vm-0" does not watch is paused and a caller reports it 300 ms later
    Then it is not handed out by "vm-0" 1500 ms after that

  Scenario: Links stay bounded and join all VMs, however many there are
    Then with 20, 100, 300 and 600 VMs each has at most 6 neighbours and all are within 6 steps

  Scenario: Changes reach all of 50 members although a fifth of all messages is lost
    Given 50 members that know each other, with a loss of 0.2
    When "vm-49" says that it leaves and 5 seconds pass
    Then every member hands out vm-0 to vm-48

  Scenario: Home VMs that are kept up to date equal those computed anew
    Then after each of 300 random changes of members the home tables are the same

  Scenario: Records are asked of another peer when one does not answer
    Then a daemon that is behind asks each peer that is ahead in turn, and none when it is not

  Scenario: A message queue is bounded and gives up heartbeats first
    Then a full queue drops its heartbeat before anything else and counts it

  Scenario: A caller gets the home VMs first, nearest first, and all homes come first at times
    Then the answers for a service name its homes first and spread callers over them
