Feature: The demo and the examples
  The examples are valid at their full size, and the demo leaves nothing behind.

  Scenario Outline: An example describes a deployment
    Given the example "<file>"
    Then its services have these endpoints and slots: <services>

    Examples:
      | file            | services                   |
      | brathwaite.toml | booking 15x4, roster 10x4 |
      | saltbush.toml   | orders 20x3, routes 15x3   |

  Scenario Outline: A demo that is interrupted leaves no process behind
    Given a demo that has said "<words>"
    When it is sent <signal>
    Then it ends with exit code 130
    And no process of it is left

    Examples:
      | words                     | signal  |
      | publish brathwaite.toml   | SIGINT  |
      | daemons serve             | SIGTERM |
