Feature: A leaving engine gets nothing new
  An engine that is leaving receives no new work once a few seconds have passed.

  Scenario: The engine itself says so, and the instance list lags by a minute
    # Requests are cut off when the engine goes. It reports that it leaves; the list still calls it
    # live and is read again and again.
    Given the recorded trace "engine_says_leaving"
    Then replaying it as ENGINES gives the stated outcome
    And "believing the instance list alone" goes wrong on the same trace

  Scenario: An order makes it leave, and its own lagging report denies it
    # Requests are cut off when the engine goes. The order was applied, but reports taken before it
    # still arrive.
    Given the recorded trace "engine_ordered_to_leave"
    Then replaying it as ENGINES gives the stated outcome
    And "believing the instance list alone" goes wrong on the same trace
