Feature: Changing the catalogue

  Background:
    Given a fleet whose catalogue has revision 1

  Scenario: two operators replace the same revision
    When "administer" replaces revision 1
    And "administer" replaces revision 1
    Then the status is 412
    And the answer names revision 2 as the current one

  Scenario: a key is withdrawn while the catalogue is replaced
    When "administer" replaces revision 1
    And "operate" withdraws the key "hostels-key"
    Then the status is 200
    And no key remains

  Scenario: an owner may not drain a target
    When "owner" drains the target "guide-1"
    Then the status is 403
