Feature: A change reaches every gateway in time, whoever restarts meanwhile

  Scenario: A gateway that has just read the whole list tells who is behind that a server has left
    Given a gateway that knows 4 backend servers
    When one of them leaves and a gateway that starts then reads the whole list
    Then the first one has dropped that server once it has the other's state
    And changes that the other one tells build on more than the first knew

  Scenario Outline: Gateways of one version use the same backend servers
    Given 10 replays of <vms> gateways of which a tenth restarts every 400 ms and <killed> are killed at once
    When backend servers leave all the while
    Then no two gateways of one version ever differ in the servers that they use
    And none uses a server later than 2500 ms after it has left

    Examples:
      | vms | killed |
      | 12  | 0.2    |
      | 40  | 0.0    |
      | 40  | 0.2    |

  Scenario Outline: A configuration reaches all VMs of three data centres over slow links
    Given 10 replays of <vms> VMs that ask for a configuration of <kb> KB, of which <killed> fall silent
    Then all that live have it within <bound> ms, by <asks> questions of each at most
    And none sends more than 3 copies at a time
    And at most 3 copies cross to each other data centre

    Examples:
      | vms | kb  | killed | bound | asks |
      | 13  | 36  | 0.0    | 1800  | 8    |
      | 132 | 36  | 0.0    | 1800  | 8    |
      | 132 | 36  | 0.05   | 1800  | 8    |
      | 300 | 36  | 0.0    | 1800  | 8    |

  Scenario: One that was referred to a VM which has gone since is served
    Given a VM that has sent a configuration to 2 VMs of another data centre
    Then another one of there is referred to one of the 2
    And is sent the configuration when it asks once more

  Scenario: A configuration is encoded where it was read, and passed on as it is
    Given 8 gateways and a configuration of 1800 routes
    When one route changes
    Then every gateway has it, and the readers alone have encoded it

  Scenario: Changes of backend servers don't wait for a configuration
    Given a VM that fetches a configuration which takes long
    When it hears that a backend server has left
    Then it has asked for that before the configuration has come
