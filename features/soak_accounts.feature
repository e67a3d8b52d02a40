Feature: The soak's checks of accounts find what they are for
  Each broken promise is played on the checks alone, without processes.

  Scenario Outline: A broken promise is found
    Given the soak's checks after a calm time with accounts and rates
    When it happens that <event>
    Then the checks report <report>

    Examples:
      | event                                                        | report                           |
      | nothing else happens                                         | nothing                          |
      | a request with an unknown key reaches an endpoint            | reached an endpoint with the key |
      | a request without a key reaches an endpoint                  | reached an endpoint with the key |
      | a request with a key that is added later reaches an endpoint | reached an endpoint with the key |
      | a request of mill runs under the name farm                   | ran as 'farm'                    |
      | a request of mill runs without a name                        | ran as ''                        |
      | an endpoint gets a key as a header                           | the endpoint got the key         |
      | an endpoint gets a key in another header                     | the endpoint got the key         |
      | a request with a lasting key is answered 401                 | which was always held            |
      | a request with an unknown key is answered 200                | was answered 200 with the key    |
      | a request of farm is answered 429 over its allotment         | was over its allotment           |
      | 108 requests of mill run within 5 s                          | nothing                          |
      | 109 requests of mill run within 5 s                          | 109 requests of mill ran         |
      | 218 requests of mill run evenly within 11 s                  | nothing                          |
      | a pipelined answer is that of the next request               | instead of its                   |
      | a large answer lacks its last byte                           | instead of its                   |
      | a request runs behind an answer that closes its connection   | ran behind an answer that closed |

  Scenario Outline: A key that is used too long after its revocation is found
    Given a gateway process that has run undisturbed, with the store, for 10 s
    When a key that was revoked then is used by a request sent <after> ms later
    Then the soak reports <count> uses of an older state

    Examples:
      | after | count |
      | 2000  | 0     |
      | 2001  | 1     |
