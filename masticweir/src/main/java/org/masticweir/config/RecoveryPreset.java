package org.masticweir.config;

/** The two documented weights between resume latency and extra resource use. */
public enum RecoveryPreset {
    /** Moves a silent generation early; pays with more false moves. */
    PROMPT(3, 1),
    /** Waits longer for a silent engine; pays with a longer pause for the caller. */
    THRIFTY(8, 3);

    private final int silenceFactor;
    private final int probesBeforeMove;

    RecoveryPreset(int silenceFactor, int probesBeforeMove) {
        this.silenceFactor = silenceFactor;
        this.probesBeforeMove = probesBeforeMove;
    }

    /** Returns how many times the usual p99 token gap may pass in silence before a probe. */
    public int silenceFactor() {
        return silenceFactor;
    }

    /** Returns how many probes in a row must fail before the generation moves. */
    public int probesBeforeMove() {
        return probesBeforeMove;
    }
}
