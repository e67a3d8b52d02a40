Feature: Gateways find each other with few calls to the store
  Who starts greets the seeds of its settings, and the store is the way in where those are gone.

  Scenario: Who knows the seeds needs no call to the store
    Given a store and 2 gateways that are seeds
    When 3 more gateways start that know the seeds
    Then every gateway knows the other 4
    And none of the 3 has written itself down in the store

  Scenario: A data centre without a seed needs no call either
    Given a store and 2 gateways that are seeds
    When 3 more gateways of another data centre start that know the seeds
    Then every gateway knows the other 4
    And none of the 3 has written itself down in the store

  Scenario: A VM whose seeds are gone is found through the store
    Given a store and 2 gateways that are seeds
    When 3 more gateways start that know the seeds
    Then every gateway knows the other 4
    When the seeds are gone for good and a gateway starts that knows only them
    Then every gateway knows the other 3

  Scenario: An address that never answers is greeted for a while only, a seed's for good
    Given a VM that knows the address of a seed and that of a VM that was replaced
    Then in the first minute it greets both
    And after 5 minutes it greets the seed alone

  Scenario: A few VMs write themselves down when a seed falls silent
    Given 9 VMs that have met their seeds
    Then none of them needs the store
    When a seed falls silent
    Then 3 of them need the store
    When those have written themselves down and die
    Then 3 of them need the store
