Feature: Not run means not run
  When a caller is told that a request was not run, it was in fact not run.

  Scenario: One engine may have run it, the next one refuses
    # A manager ventilates twice. The first send's fate is unknown, the second engine refuses, no
    # other has room: told "not run", the manager's telephone would submit it again.
    Given the recorded trace "lost_then_refused"
    Then replaying it as ANSWER gives the stated outcome
    And "releasing every frame" goes wrong on the same trace

  Scenario: The claim's answers are lost and its write lands late
    # A family gets a letter after the desk was told that it was not written. The table takes the
    # claim's writes but answers none in time, the caller is refused, and the first write lands.
    Given the recorded trace "claim_lands_late"
    Then replaying it as CLAIM gives the stated outcome
    And "sending before claiming" goes wrong on the same trace
