Feature: The whole path in virtual time
  Clients hand in jobs at a dispatcher, the head of the core commits and places them, agents run them at their workers.

  Scenario: Nothing goes wrong
    Given a system without troubles
    When clients hand in jobs until all is calm
    Then no rule is broken
    And at least 10 jobs are shown as done
    And the same head has served all the time

  Scenario Outline: Troubles of one kind
    Given a system with troubles of the kind "<kind>"
    When clients hand in jobs until all is calm
    Then no rule is broken
    And at least 1 jobs are shown as done

    Examples:
      | kind          |
      | head          |
      | chain         |
      | acks          |
      | clock         |
      | agent         |
      | freeze        |
      | session       |
      | cut           |
      | silent        |
      | crash         |
      | machine       |
      | drain         |
      | add           |
      | calls         |
      | grey          |
      | clients       |
      | burst         |
      | configuration |
      | cancel        |

  Scenario: The head changes
    Given a system with troubles of the kind "head"
    When clients hand in jobs until all is calm
    Then more than one head has served
    And no rule is broken
