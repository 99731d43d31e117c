Feature: Non-idempotent at most once
  A request marked as non-idempotent, such as a follow-up letter, runs at most once.

  Scenario: Two routers get the same letter while the table loses an answer
    # A doubled letter. The desk submits it, sees nothing and submits it at another router; the
    # first router's claim took effect but its answer was lost.
    Given the recorded trace "same_letter_at_two_routers"
    Then replaying it as CLAIM gives the stated outcome
    And "sending before claiming" goes wrong on the same trace

  Scenario: The engine is lost after the send
    # A doubled letter. The engine dies after the send, and another one has room at once.
    Given the recorded trace "letter_engine_lost"
    Then replaying it as ANSWER gives the stated outcome
    And "releasing every frame" goes wrong on the same trace

  Scenario: The engine refuses to let its stream be read again
    # A doubled letter. The link breaks after the send, the engine goes on writing and refuses the
    # second read, being overloaded; that is no word on the send.
    Given the recorded trace "letter_reread_refused"
    Then replaying it as ANSWER gives the stated outcome
    And "releasing every frame" goes wrong on the same trace
