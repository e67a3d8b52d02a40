Feature: An evacuated data centre gets nothing
  Operators evacuate a data centre, and take it back, by records beside the configuration.

  Scenario: Requests and probes go elsewhere, on every gateway, until the data centre is taken back
    Given 3 gateways and backend servers in two data centres
    When one data centre is evacuated
    Then all gateways know of it and say so in their logs
    And of 60 requests and all probes none reaches an endpoint there
    When the data centre is taken back
    Then its endpoints get requests again

  Scenario: With all data centres evacuated, requests are refused at once with a time to come back
    Given 3 gateways and backend servers in two data centres
    When both data centres are evacuated
    Then a request is refused within half its objective, and its caller told to come back

  Scenario: A gateway that starts later, while the store is away, learns it from its peers
    Given 3 gateways and backend servers in two data centres
    When one data centre is evacuated
    Then all gateways know of it and say so in their logs
    When the store is away and a gateway starts that knows a peer
    Then the late gateway knows of it too

  Scenario: A data centre that is taken back while the store forgets its history
    Given 3 gateways and backend servers in two data centres
    When one data centre is evacuated
    Then all gateways know of it and say so in their logs
    When the data centre is taken back and the store forgets its history
    Then its endpoints get requests again

  Scenario: A request that was placed before is not sent any more
    Given an attempt at an endpoint whose data centre is evacuated before it is sent
    Then nothing is sent, and the request may go elsewhere

  Scenario Outline: However the records come, the state of the later offset holds
    Given the evacuations <known> as of offset <offset>
    When <what> comes
    Then <result> are evacuated

    Examples:
      | known      | offset | what                              | result     |
      | a          | 5      | change 6 +b                       | a and b    |
      | a          | 5      | change 4 -a                       | a          |
      | a          | 5      | change 6 -a                       | none       |
      | a          | 5      | changes 6 -a 7 +a                 | a          |
      | a          | 5      | whole list of offset 7 with b     | b          |
      | a          | 5      | whole list of offset 4 with b     | a          |
      | a          | 5      | whole list of offset 9 with none  | none       |
      | a          | 5      | a peer's state of offset 8 with b | b          |
      | a          | 5      | a peer's state of offset 3 with b | a          |

  Scenario Outline: A route that names regions is served by the endpoints there alone
    Given endpoints in data centres of regions kingston and hobart, and a route to <regions>
    Then of 200 choices all are in <regions>, with all of kingston <kingston>

    Examples:
      | regions | kingston  |
      | hobart  | free      |
      | kingston | free     |
      | kingston | evacuated |
