Feature: The operator changes the configuration
  The configuration is a compare-and-set register: an order takes effect if it builds on the current version.

  Background:
    Given the operator has put version 5 with the route "r-print" to the service "press"

  Scenario: A whole configuration takes the place of the current one
    When the operator puts version 8 on top of version 5
    Then the order is accepted
    And version 8 is in force

  Scenario: An order whose answer was lost is sent again
    Given the operator has put version 8 on top of version 5
    When the operator sends the same order again
    Then the order is repeated
    And version 8 is in force

  Scenario: An order whose answer was lost is sent again after another change
    Given the operator has put version 8 on top of version 5
    And another operator has put version 9 on top of version 8
    When the operator sends the same order again
    Then the order is repeated
    And version 9 is in force

  Scenario: An order that took effect is known to a replica that starts from a snapshot
    Given the operator has put version 8 on top of version 5
    And the state is restored from its snapshot
    When the operator sends the same order again
    Then the order is repeated
    And version 8 is in force

  Scenario: Two operators build on the same version
    Given another operator has put version 8 on top of version 5
    When the operator puts version 8 on top of version 5
    Then the order is a conflict
    And version 8 is in force

  Scenario Outline: Invalid configurations are refused
    When the operator puts version 8 on top of version 5 with <fault>
    Then the order is invalid because of "<place>"
    And version 5 is in force

    Examples:
      | fault                        | place                 |
      | a route to no service        | routes[0].service     |
      | two routes of one prefix     | routes[1].path_prefix |
      | a time-out of 0              | routes[0].timeout_ms  |
      | the body cut short           |                       |

  Scenario: A version that does not rise is refused
    When the operator puts version 5 on top of version 5
    Then the order is invalid because of "version"
    And version 5 is in force

  Scenario: A route is added
    When the operator patches version 5 to version 6, adding the route "r-scan"
    Then the order is accepted
    And requests for "/r-scan/1" belong to the route "r-scan"
    And requests for "/r-print/1" belong to the route "r-print"

  Scenario: A route is removed
    When the operator patches version 5 to version 6, removing the route "r-print"
    Then the order is accepted
    And requests for "/r-print/1" belong to no route

  Scenario: A service in use is removed
    When the operator patches version 5 to version 6, removing the service "press"
    Then the order is invalid because of "routes[0].service"
    And version 5 is in force
