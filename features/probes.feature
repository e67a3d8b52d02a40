Feature: Backend servers are asked for their load, within the measuring budget

  Scenario: Every kind of answer ends a probe
    Given a scripted backend server that is probed
    Then these answers to a probe tell the load
      | answer       | load |
      | load         | 3    |
      | not-found    | none |
      | wrong-number | none |
      | hangs        | none |
      | cut          | none |
      | too-long     | none |
    And these answers to a probe of health tell of a drain
      | answer       | draining |
      | draining     | true    |
      | load         | false   |
      | not-found    | false   |
      | hangs        | none    |
    And a probe uses a connection again

  Scenario: Daemons probe idle endpoints
    Given 4 backend servers and 3 daemons
    When an operator publishes the configuration
    Then every backend server is probed, within the budget

  Scenario Outline: VMs that do not reach each other keep the measuring budget together
    Given 120 endpoints with 42 ms a second for measuring, and <vms> listed VMs in groups of <group>
    When each group takes all endpoints for its own for 20 s
    Then all VMs together have probed no longer than the budget allows, and over a third of that

    Examples:
      | vms | group |
      | 1   | 1     |
      | 3   | 1     |
      | 4   | 2     |
      | 12  | 1     |

  Scenario: An owner has half of an endpoint's connections and the others share the rest
    Given the routers of 3 VMs, with one endpoint of 200 connections
    Then their limits add up to no more than its connections

  Scenario: A refusal that says no more is looked into
    Given a home of 3 endpoints of which one refuses a request
    Then its health is asked for within a second
    And while it is found leaving it gets no request and is asked again
    And once it is found well it gets requests again
