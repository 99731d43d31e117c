Feature: One key in several failure domains
  A report is computed once, also when its key is submitted in two failure domains at one moment.

  Scenario: Both domains are asked at one moment
    # A report computed twice. Each domain's holder grants it to its own router; the questions
    # reach the key's home in one order and the answers come back in the other.
    Given the recorded trace "same_key_in_two_domains"
    Then replaying it as KEYS gives the stated outcome
    And "running what each domain grants" goes wrong on the same trace

  Scenario: The home's answer comes late
    # A report computed twice. The home registers the first router and its answer is slow: the
    # router goes on alone, and the second one reads from it all the same.
    Given the recorded trace "same_key_answer_late"
    Then replaying it as KEYS gives the stated outcome
    And "running what each domain grants" goes wrong on the same trace

  Scenario: A router is paused while its question is on the way
    # A report computed twice. The router freezes with the answer unread and wakes with its bound
    # long past; that is its own pause and not the home's silence, so it asks once more.
    Given the recorded trace "same_key_router_paused"
    Then replaying it as KEYS gives the stated outcome
    And "running what each domain grants" goes wrong on the same trace

  Scenario: A domain is cut off from the home, and the link heals
    # A domain that is cut off still serves, at the price of a second computing; the next
    # submission after the link has healed is read from the owner that the home knows.
    Given the recorded trace "same_key_cut_and_healed"
    Then replaying it as KEYS gives the stated outcome
    And "running what each domain grants" goes wrong on the same trace

  Scenario: The owner is lost with its copy
    # A key that nobody could ever run again. Its owner's domain is lost; the router that looked
    # for it in vain has the home forget the owner, and runs it.
    Given the recorded trace "same_key_owner_lost"
    Then replaying it as KEYS gives the stated outcome
    And "running what each domain grants" goes wrong on the same trace
