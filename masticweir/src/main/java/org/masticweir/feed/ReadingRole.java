package org.masticweir.feed;

/** A router's part in reading the store for its domain. */
public enum ReadingRole {
    /** Reads and tells the others at once. */
    FIRST(1),

    /**
     * Reads as well, at half the rate, so that what the first one misses while nobody knows of its
     * failure is known one longer rest later.
     */
    STAND_BY(2),

    /** Reads because those before it are silent. */
    SUBSTITUTE(1),

    /** Is told by those that read. */
    TOLD(0);

    private final int rests;

    ReadingRole(int rests) {
        this.rests = rests;
    }

    public boolean reads() {
        return rests > 0;
    }

    /**
     * Returns how long the store may wait for a first change, in ms. The stand-by waits in full: it
     * receives changes as soon as the first reader does, and the first reader confirms often enough
     * that nothing has changed.
     */
    long waitMs(FeedPace pace, long latencyMs) {
        return this == STAND_BY ? pace.waitMs() : pace.waitMs(latencyMs);
    }

    /** Returns the pause after an answer with changes, in ms. */
    long restMs(FeedPace pace) {
        return pace.restMs() * rests;
    }
}
