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
