Feature: Requests belong to client accounts, where a deployment has them
  A request runs only with a key of the configuration in force.  Endpoints get the account's name and
  never a key, whatever the caller sends.

  Scenario Outline: A request is served or rejected by its key
    Given a gateway whose configuration has the accounts mill and farm and a public route
    When the caller's request is <what>
    Then its answer is <status>, and the endpoint <sees>

    Examples:
      | what                                       | status | sees                              |
      | a request with mill's key                  | 200    | gets the account mill and no key  |
      | a request with mill's second key           | 200    | gets the account mill and no key  |
      | a request with the scheme in capitals      | 200    | gets the account mill and no key  |
      | farm's key and the name mill as account    | 200    | gets the account farm and no key  |
      | mill's key and a Connection header         | 200    | gets the account mill and no key  |
      | a request without a key                    | 401    | gets nothing                      |
      | a request with an unknown key              | 401    | gets nothing                      |
      | a request with the keys of both            | 401    | gets nothing                      |
      | a request with mill's key as Bearer        | 401    | gets nothing                      |
      | a public request without a key             | 200    | gets no account and no key        |
      | a public request with an unknown key       | 200    | gets no account and no key        |
      | a public request with the name mill        | 200    | gets no account and no key        |
      | a public request with mill's key           | 200    | gets the account mill and no key  |

  Scenario: Without accounts, callers and endpoints keep these headers to themselves
    Given a gateway and 1 backend servers
    When a caller of a deployment without accounts sends a key and an account
    Then the endpoint gets both as the caller sent them

  Scenario: Keys change on open connections
    Given a gateway whose configuration has the accounts mill and farm and a public route
    When one connection has requests while mill's key is revoked and a key of farm is added
    Then mill's requests are answered 401 and farm's 200 as soon as the new configuration is in force

  Scenario: An unknown key is not rejected for good by a configuration that may be outdated
    Given a gateway whose configuration has the accounts mill and farm and a public route
    And its configuration has not been confirmed in time
    When the caller's request is a request with an unknown key
    Then its answer is 503, and the endpoint gets nothing

  Scenario Outline: How long a key counts while the store is away
    Given a gate with <rule> whose configuration was confirmed <age> ms ago
    Then a request with a known key is <served>

    Examples:
      | rule                         | age   | served   |
      | no rule on revocation        | 60000 | accepted |
      | strict revocation in 5000 ms | 4800  | accepted |
      | strict revocation in 5000 ms | 5000  | rejected |

  Scenario: While accounts could not be understood, no key is unknown for good
    Given a gate whose configuration has an account that could not be understood
    Then a request with an unknown key is told to come back

  Scenario: A request that another gateway passes on keeps its account and loses its key
    Given 3 gateways with accounts, where the first gateway has lost its links to 2 backend servers
    When callers send it requests with mill's key, an unknown key and no key
    Then mill's request has run once as mill's without a key, and the others are answered 401
    And no message between the gateways holds a key

  Scenario: A gateway judges by its own configuration what another one passes on
    # Guards against keys that were revoked in a configuration which only this gateway has yet.
    Given a gateway whose configuration has the accounts mill and farm and a public route
    When another gateway passes on requests with farm's key, a revoked key and no key
    Then farm's request runs as farm's, and the others are rejected as unknown-key

  Scenario Outline: An account with a fault costs that account, and its reason shows no key
    Given a configuration of which the accounts have <fault>
    Then the accounts <left> are left, and the reason given shows no key

    Examples:
      | fault               | left      |
      | one key in two      | mill farm |
      | an empty key        | farm      |
      | a rate below zero   | farm      |
      | a burst of text     | farm      |
      | one name twice      | mill farm |
      | a name of two lines | farm      |
      | one that is no table | farm     |

  Scenario: Keys are in no log line, no metric and no configuration that VMs exchange
    Given a gateway whose configuration has the accounts mill and farm and a public route
    When the caller's request is a request with mill's key
    And the caller's request is a request with an unknown key
    Then neither key is in its log, its metrics or its encoded configuration
    And the log line of the request names the account mill
