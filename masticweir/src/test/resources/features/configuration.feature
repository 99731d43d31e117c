Feature: Accepted configuration never reverts
  An accepted configuration is in force in every failure domain and never reverts to an earlier one.

  Scenario: A failure domain is cut off for an hour and comes back with an old revision
    # A target that operators changed is undone. A domain is cut off from its peers and the platform
    # for sixty minutes, two changes are made meanwhile, and then it tells its peers what it holds.
    Given the recorded trace "hour_of_isolation"
    Then replaying it as CONFIGURATION gives the stated outcome
    And "applying any revision" goes wrong on the same trace
