Feature: Gateways among each other
  What one knows reaches all, and serving goes on without the store.

  Scenario: Two gateways read the store for all
    Given 4 gateways and 2 backend servers
    When the configuration and the backend servers change
    Then all gateways follow
    And in the next 3 seconds at most 2 of them read the store

  Scenario: A reader whose connection to the store has gone silent
    Given 3 gateways and 2 backend servers
    When the store never answers one of the readers again
    And the configuration and the backend servers change
    Then all gateways follow

  Scenario: A store that has gone silent is noticed on both feeds
    Given 1 gateways and 2 backend servers
    When a call for backend servers gets no answer, and one for the configuration is given up
    And the configuration and the backend servers change
    Then all gateways follow

  Scenario: A change is taken in time from a store that tells no waiting call of it
    Given 2 gateways and 2 backend servers
    When the store leaves calls that wait without an answer until their wait ends
    And the configuration and the backend servers change
    Then all gateways follow
    And no call that waits and the pause after it take more than 1500 ms

  Scenario: Serving goes on while the store is away
    Given 3 gateways and 2 backend servers
    When the store answers nobody
    Then all gateways still serve

  Scenario: A gateway that starts while the store is away learns from its peers
    Given 3 gateways and 2 backend servers
    When the store answers nobody and a gateway starts that knows a peer's address
    Then it becomes ready and serves

  Scenario: The reader dies and a change reaches all the others
    Given 3 gateways and 2 backend servers
    When the gateway that reads is gone and the configuration changes
    Then the other gateways follow

  Scenario: The history of the store is lost
    Given 2 gateways and 2 backend servers
    When the store forgets its history while a backend server leaves and another joins
    Then all gateways know the one that joined and drop the one that left

  Scenario: Callers are told of the gateways that serve, and of no other
    Given 3 gateways and 1 backend servers
    Then each names all three
    When one is told to leave
    Then the other two no longer name it

  Scenario: Load figures reach the neighbours
    Given 2 gateways and 1 backend servers
    When the backend server works 7 times as long
    Then both gateways know that pace

  Scenario: Each backend server is measured by one gateway alone
    Given 3 gateways and 2 backend servers
    Then each backend server comes to be measured over one connection

  Scenario: A VM of another fleet at a reused address is no peer
    Given 2 gateways and 1 backend servers
    When a gateway of another fleet, with a newer configuration, takes the address of one that is gone
    Then the one that is left neither names it nor takes its configuration

  Scenario: A gateway that ends while a peer asks it for its state leaves no trace in its log
    Given a gateway and a peer that has connected to ask for its state and says nothing
    When the tasks of the gateway's process are cancelled
    Then nothing was reported as unhandled
