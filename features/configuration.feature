Feature: Configuration through the log
  What is accepted is in force everywhere and never reverts; what is not valid changes nothing.

  Scenario: All faults of a document are told at once
    When this document is checked
      """
      brand = "Salt Bush"
      color = "red"
      [[services]]
      name = "orders"
      hosts = ["orders.saltbush.example", "ORDERS"]
      priority = "urgent"
      [services.policy]
      retry_ratio = 1.5
      home_vms = true
      timeout_ms = nan
      [services.presets.busy]
      timeout_ms = 5
      [[services.places]]
      data_center = "moonah-depot"
      slots = 0
      endpoints = ["10.0.0.1", "10.0.0.1:0", "10.0.0.2:80", "10.0.0.300:80"]
      [[services]]
      places = "everywhere"
      """
    Then these faults are told
      | key                              | found             | allowed                        |
      | brand                            | 'Salt Bush'       | lower-case letters             |
      | color                            | 'red'             | one of: brand, services        |
      | services[0].hosts[1]             | 'ORDERS'          | a lower-case host name         |
      | services[0].priority             | 'urgent'          | one of: high, normal, low      |
      | services[0].policy.retry_ratio   | 1.5               | a number from 0 to 1           |
      | services[0].policy.home_vms      | True              | an integer from 1              |
      | services[0].policy.timeout_ms    | nan               | a number from 1                |
      | services[0].presets.busy         | {'timeout_ms': 5} | one of: ordinary, peak         |
      | services[0].places[0].slots      | 0                 | an integer from 1              |
      | services[0].places[0].endpoints[0] | '10.0.0.1'      | ip:port                        |
      | services[0].places[0].endpoints[1] | '10.0.0.1:0'    | ip:port                        |
      | services[0].places[0].endpoints[3] | '10.0.0.300:80' | ip:port                        |
      | services[1].name                 | nothing           | lower-case letters             |
      | services[1].hosts                | nothing           | a list of at least 1           |
      | services[1].places               | 'everywhere'      | a list                         |

  Scenario: Names that stand twice are told at once
    When this document is checked
      """
      brand = "saltbush"
      [[services]]
      name = "orders"
      hosts = ["a.example", "a.example"]
      routes = [{path_prefix = "/x", priority = "low"}, {path_prefix = "/x", priority = "high"}]
      [[services.places]]
      data_center = "moonah-depot"
      endpoints = ["10.0.0.2:80"]
      [[services.places]]
      data_center = "kingston-yard"
      endpoints = ["10.0.0.2:80"]
      leaving = ["10.0.0.9:80"]
      [[services]]
      name = "orders"
      hosts = ["a.example"]
      """
    Then these faults are told
      | key                                | found         | allowed                                |
      | services[1].name                   | 'orders'      | that services[0].name does not have    |
      | services[0].hosts[1]               | 'a.example'   | that services[0].hosts[0] does not     |
      | services[1].hosts[0]               | 'a.example'   | that services[0].hosts[0] does not     |
      | services[0].places[1].endpoints[0] | '10.0.0.2:80' | that services[0].places[0].endpoints   |
      | services[0].places[1].leaving[0]   | '10.0.0.9:80' | one of this place's endpoints          |
      | services[0].routes[1].path_prefix  | '/x'          | that services[0].routes[0].path_prefix |

  Scenario: All faults of a daemon's settings are told at once
    When these settings are checked
      """
      vm = "vm 1"
      data_center = 7
      caller_address = "localhost:80"
      operator_address = "127.0.0.1:0"
      peer_address = "127.0.0.1:70000"
      heartbeat_ms = 1
      log_format = "xml"
      token = "secret"
      """
    Then these faults are told
      | key            | found             | allowed                   |
      | vm             | 'vm 1'            | lower-case letters        |
      | data_center    | 7                 | lower-case letters        |
      | caller_address | 'localhost:80'    | ip:port                   |
      | peer_address   | '127.0.0.1:70000' | ip:port                   |
      | platform_url   | nothing           | an http:// or https://    |
      | heartbeat_ms   | 1                 | an integer from 10        |
      | log_format     | 'xml'             | one of: text, json        |
      | token          | 'secret'          | one of: vm, data_center   |

  Scenario: No record of the log raises or changes what is in force unless it is valid
    Then 400 arbitrary records are judged without an error and change nothing

  Scenario Outline: What a record comes to
    Given brand "saltbush" at version 2 with host "a.example" and brand "brathwaite" with "b.example"
    When <operator> appends <change>
    Then the verdict is <verdict> because "<reason>"

    Examples:
      | operator | change                                        | verdict   | reason                     |
      | ann      | a switch of saltbush to peak on version 2     | accepted  |                            |
      | ann      | a switch of saltbush to peak on version 1     | stale     | builds on version 1        |
      | ann      | a switch of nobody to peak on version 0       | invalid   | a brand in force           |
      | ann      | a repeat of the first change of saltbush      | duplicate | was accepted before        |
      | ann      | saltbush with host b.example on version 2     | invalid   | that brand 'brathwaite' has |
      | ann      | saltbush named brathwaite on version 2        | invalid   | the brand that the change  |
      | ann      | saltbush with host A! on version 2            | invalid   | a lower-case host name     |
      | ann      | a removal of saltbush on version 2            | accepted  |                            |

  Scenario: Of two racing changes one is accepted, and the loser is told which
    Given brand "saltbush" at version 2 with host "a.example" and brand "brathwaite" with "b.example"
    When ann appends a switch of saltbush to peak on version 2
    And bob appends a switch of saltbush to maintenance on version 2
    Then the verdict is stale because "version 3 is in force"
    And the winner is ann's change, which made version 3
    And the preset of saltbush is peak
