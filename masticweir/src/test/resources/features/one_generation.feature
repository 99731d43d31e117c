Feature: Never two generations in one answer
  A report is never stitched together from two different generations of the same request.

  Scenario: The pinned version goes while the engine is lost
    # A report whose halves don't fit. Its engine dies, no engine has the version any more, and the
    # caller accepts a reset: all of the old generation is void, also what comes of it late.
    Given the recorded trace "version_gone_with_reset"
    Then replaying it as ANSWER gives the stated outcome
    And "releasing every frame" goes wrong on the same trace

  Scenario: An engine resumes the wrong generation
    # A report that goes on with another one's text. After the move the new engine echoes another
    # generation; its attempt is dropped and a third engine goes on.
    Given the recorded trace "wrong_generation_echoed"
    Then replaying it as ANSWER gives the stated outcome
    And "releasing every frame" goes wrong on the same trace
