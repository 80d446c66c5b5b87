Feature: Changing the catalogue

  Background:
    Given a fleet whose catalogue has revision 1

  Scenario: two operators race
    When "administer" replaces revision 1
    And "administer" replaces revision 1
    Then the status is 412
    And the answer names revision 2 as the current one

  Scenario: a key is withdrawn during a race
    When "administer" replaces revision 1
    And "operate" withdraws the key "hostels-key"
    Then the status is 200
    And no key is left

  Scenario: an owner reaches for what is not its own
    When "owner" drains the target "guide-1"
    Then the status is 403
