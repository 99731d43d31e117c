Feature: Each domain alone, and nothing wrong when it comes back
  On healing nothing reverts, doubles or floods.

  Scenario: Claims in an hour without the platform
    # A doubled letter, or one that can't be sent for a day. One domain's links to the platform are
    # silent for an hour and another's refused, letters are under way, callers go on asking and all
    # come back at the end at once. No letter runs without its row, or twice; the ends of those
    # under way are stored, and the table is not flooded in the first second.
    Given the recorded trace "claims_without_platform"
    Then replaying it as ISOLATED_CLAIMS gives the stated outcome
    And "sending without the table" goes wrong on the same trace
