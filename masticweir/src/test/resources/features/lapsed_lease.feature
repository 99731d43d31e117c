Feature: A lapsed lease's order is refused
  A holder that resumes believing it still holds the lease does no harm.

  Scenario: The holder is paused, its lease lapses, and it resumes
    # A model vanishes from the engines that should hold it. The former holder wakes after the next
    # one was elected, and orders what was wanted before.
    Given the recorded trace "paused_holder"
    Then replaying it as ORDERS gives the stated outcome
    And "trusting whoever held the lease" goes wrong on the same trace

  Scenario: The holder is paused between its check and its order
    # The same, with the worst moment of the pause: the lease was checked just before. The engine
    # knows the next holder's fencing number and refuses.
    Given the recorded trace "paused_after_check"
    Then replaying it as ORDERS gives the stated outcome
    And "trusting whoever held the lease" goes wrong on the same trace
