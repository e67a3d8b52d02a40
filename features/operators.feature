Feature: The operators' tool against real daemons
  Every command does what its help says, its exit code means something, and it never pretends.

  Scenario: An operator's commands from first to last
    Given 1 backend servers and 3 daemons
    Then these commands give
      | command                                                | code | output                          |
      | help place add                                         | 0    | cloverhook place add saltbush   |
      | --help                                                 | 0    | --daemons                       |
      | nothing                                                | 2    | no such command                 |
      | switch saltbush fast                                   | 2    | allowed: ordinary, peak         |
      | brand add saltbush --wait                              | 0    | in force at: 127.0.0.1          |
      | brand add saltbush                                     | 1    | is in force already             |
      | service add saltbush orders a.example                  | 0    | accepted                        |
      | place add saltbush orders papine 10.0.0.1:80 --slots=3 | 0    | accepted                        |
      | switch saltbush peak --wait --output=json              | 0    | "have_not": {}                  |
      | show saltbush --output=json                            | 0    | "slots": 3                      |
      | history --output=json                                  | 0    | "verdict": "accepted"           |
      | status                                                 | 0    | saltbush version 4 peak         |
      | settle no-such-change                                  | 3    | the log does not show           |
      | brand remove saltbush --wait                           | 0    | in force at: 127.0.0.1          |
      | show                                                   | 0    | no brand is in force            |
      | drain vm-1                                             | 0    | vm-1: draining                  |
      | check missing.toml                                     | 1    | a readable TOML file            |

  Scenario: A daemon that does not follow is named
    Given 1 backend servers and 3 daemons
    When the process of vm-2 is killed
    Then these commands give
      | command                                    | code | output           |
      | brand add saltbush --wait --wait_ms=1500   | 4    | not at 127.0.0.1 |
      | status                                     | 4    | no answer        |

  Scenario: The platform fails while operators publish
    Given 1 backend servers and 2 daemons
    Then these commands give
      | command                  | code | output   |
      | brand add saltbush       | 0    | accepted |
    When the platform has the faults {"lose_append_answers": 1}
    Then these commands give
      | command                  | code | output   |
      | switch saltbush peak     | 0    | accepted |
    When the platform has the faults {"refuse_appends": true}
    Then these commands give
      | command                  | code | output   |
      | switch saltbush ordinary | 1    | refused  |
    When the platform has the faults {"down": true}
    Then these commands give
      | command                  | code | output   |
      | switch saltbush ordinary | 1    | refused  |
      | show                     | 5    |          |
    And "status" comes to give 0 and "behind" once the reads under way have ended
    When the platform has the faults {}
    And the platform loses the configuration stream
    Then every daemon keeps version 2 and the log gets a snapshot
    When another daemon starts
    Then these commands give
      | command                          | code | output               |
      | show                             | 0    | version 2, preset peak |
      | switch saltbush maintenance --wait | 0  | in force at:         |
