Feature: Each token once
  Every report contains each token once: none missing, none repeated.

  Scenario: An engine that was paused wakes after another took its generation
    # A grower reads sentences twice. The first engine falls silent with its link open and answers
    # no probe, so the generation moves; then it wakes and sends what it computed meanwhile.
    Given the recorded trace "paused_engine_wakes"
    Then replaying it as ANSWER gives the stated outcome
    And "releasing every frame" goes wrong on the same trace

  Scenario: A link breaks and the stream is read again from before the break
    # An adviser reads a line twice. The link breaks while frames are on their way, the engine
    # lives, and its stream is read again; frames overlap and a late one of the old stream follows.
    Given the recorded trace "overlapping_reread"
    Then replaying it as ANSWER gives the stated outcome
    And "releasing every frame" goes wrong on the same trace
