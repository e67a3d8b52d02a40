Feature: What operators see of client accounts and of a gateway's load
  Metrics and log lines by account are bounded, and one command sums them over the fleet.

  Scenario Outline: The result of a request is counted for its account
    Given a gateway with client accounts and a metrics page
    When a request of mill <ends>
    Then its metrics page counts for mill only one request <result>

    Examples:
      | ends                                   | result   |
      | is answered within its route's aim     | in-time  |
      | is answered after its route's aim      | late     |
      | is rejected by every endpoint          | rejected |
      | gets an endpoint's failure             | failed   |
      | gets no answer before its deadline     | failed   |
      | is given up by its caller              | failed   |

  Scenario: Nothing is counted for requests without an account
    Given a gateway with client accounts and a metrics page
    When requests come with an unknown key, without a key, and without a key on a public route
    Then its metrics page counts no request by account

  Scenario: Nothing is counted in a deployment without accounts
    Given a gateway and 1 backend servers
    When a caller sends a request with a key
    Then the gateway has no metric by account

  Scenario: A request that was passed on is counted by one gateway
    Given 3 gateways with accounts, where the first gateway has lost its links to 2 backend servers
    When callers send it requests with mill's key, an unknown key and no key
    Then the 3 gateways together count one request of mill

  Scenario: The limits that the configuration states are shown, and no limit that it states no more
    Given a gateway with client accounts and a metrics page
    When a request of mill is answered within its route's aim
    Then its metrics page has the limit 20 of mill and none of farm
    When the configuration states no limits any more
    Then its metrics page has no limits

  Scenario: The number of accounts by name is bounded
    Given requests of 130 accounts have been counted, and of one with the name other
    Then the first 100 accounts have their names, and 31 requests are counted as other
    And there are no limits of accounts that are counted as other

  Scenario: A name with a quote and a backslash doesn't break the metrics page
    Given a request of an account with a quote and a backslash in its name has been counted
    Then the sums over two of its metrics pages give 2 requests of that account

  Scenario: A starved account is found under the load that the decision is designed for
    Given requests of 77 accounts at 40 a second, of which 0.6 are served
    When account 3 is served a tenth for 20 s from second 30 on
    Then account 3 is reported as starved within 10 s, and as served within 15 s after that ends
    And no other account is reported
    And no account is reported twice within 5 s

  Scenario Outline: When an account is starved
    Given <served> of <requests> requests of mill and 60 of 100 requests of others were served
    Then mill is <state>

    Examples:
      | served | requests | state   |
      | 5      | 20       | starved |
      | 6      | 20       | served  |
      | 0      | 19       | served  |
      | 0      | 20       | starved |

  Scenario: A starved account that sends nothing more is not starved any more
    Given 0 of 20 requests of mill and 60 of 100 requests of others were served
    Then mill is starved
    And mill is served again 11 s later, with 0 requests

  Scenario: An account that is served badly like all others is not starved
    Given 4 of 40 requests of mill and 15 of 100 requests of others were served
    Then mill is served

  Scenario: A starved account is logged with the figures that decided
    Given a gateway with client accounts and a metrics page
    When 30 requests of farm are served and 25 of mill are rejected
    Then a log line says that mill is starved, with 25 requests, 0 served and 0.545 of all served

  Scenario: A gateway that is short of processor time shows it
    Given a gateway with client accounts and a metrics page
    When its process computes for 400 ms without a break
    Then its metrics page has a delay of its periodic work of over 300 ms
    And the processor time on it has grown by 300 to 600 ms

  Scenario: The command sums the metrics of several gateways, the worst share first
    Given two metrics pages of gateways, an address that does not answer and a page of another program
    When the operator runs cloverhook accounts for the two pages
    Then it prints these accounts and exits with 0
      | account | limit/s | admitted | over limit | in-time | late | rejected | failed | share in time |
      | farm    | -       | -        | -          | 1       | 1    | 2        | 0      | 0.250         |
      | mill    | 20      | 90       | 25         | 60      | 20   | 0        | 0      | 0.750         |
      | idle    | 7.5     | -        | -          | 0       | 0    | 0        | 0      | -             |
    When the operator runs cloverhook accounts for all four
    Then it prints the same accounts, names the two that gave no metrics and exits with 4
    And with JSON output it gives the same numbers

  Scenario: The command reads the metrics page of a gateway
    Given a gateway with client accounts and a metrics page
    When a request of mill is answered within its route's aim
    And the operator runs cloverhook accounts for the gateway
    Then it prints one request of mill in time and its limit 20

  Scenario Outline: The command line of cloverhook accounts is checked
    When the operator runs cloverhook accounts <arguments>
    Then it exits with 2 and says <reason>

    Examples:
      | arguments           | reason                                 |
      | without arguments   | usage: cloverhook accounts URL...      |
      | https://10.0.0.1:91 | expected ip:port or http://ip:port     |
      | 10.0.0.1            | expected ip:port or http://ip:port     |
      | 10.0.0.1:none       | expected ip:port or http://ip:port     |
