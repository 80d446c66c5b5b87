Feature: Checking settings without starting a VM

  Scenario: a valid file
    Given a settings file that is valid
    When the operator checks the settings
    Then the exit code is 0

  Scenario: a file with two errors
    Given a settings file with the port 0 and an unknown field "adress"
    When the operator checks the settings
    Then the exit code is 2
    And the output names "$.caller_port"
    And the output names "did you mean 'address'?"
