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

  Scenario: Copies in an hour without the other domains
    # A report that two routers go on with, or lost copies. Two domains are cut off for an hour, one
    # of them with a single router, whose reports go on without copies; one of them is taken over on
    # the other side. When the links are back one router owns each report, all have their copies
    # again, answers that ended stay ended, and no more is sent than for the reports under way.
    Given the recorded trace "copies_without_peers"
    Then replaying it as ISOLATED_COPIES gives the stated outcome
    And "owning a request for ever" goes wrong on the same trace
