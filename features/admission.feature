Feature: Brands are kept apart
  One brand's flood does not take another brand's share of a daemon.

  Scenario: Shares of the requests in progress
    Then a brand alone may use all, and another's first requests are taken all the same
    And room that a flood gives back goes to the brand below its share first
    And requests that have ended leave nothing behind

  Scenario: A flood of one brand
    Given a daemon that takes few requests of two brands
    When one brand floods it with requests that hang
    Then the flood's next request is refused at once, as not run, with a time to come back
    And the other brand's requests are answered
