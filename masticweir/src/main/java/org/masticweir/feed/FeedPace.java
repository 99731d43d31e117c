package org.masticweir.feed;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often one table is asked for, in ms; immutable.
 *
 * @param waitMs how long the store may wait for a first change
 * @param graceMs how much later than that its answer may come at least; {@link AnswerDelay} says
 *     how much it may now
 * @param restMs pause after an answer with changes, so that changes in series cost one call
 * @param maxAgeMs how old an answer may become, while the store answers, before the next one comes
 */
public record FeedPace(long waitMs, long graceMs, long restMs, long maxAgeMs) {
    /** Shortest wait that a late store leaves, in ms. */
    private static final long MIN_WAIT_MS = 100;

    public FeedPace {
        checkArgument(waitMs >= 1, "wait %s ms", waitMs);
        checkArgument(graceMs >= 1, "grace %s ms", graceMs);
        checkArgument(restMs >= 0, "rest %s ms", restMs);
        checkArgument(maxAgeMs >= 1, "most age %s ms", maxAgeMs);
    }

    /** Returns a pace at which answers may become as old as the store's wait makes them. */
    public static FeedPace of(long waitMs, long graceMs, long restMs) {
        return new FeedPace(waitMs, graceMs, restMs, Long.MAX_VALUE);
    }

    /** Returns this pace with waits short enough for answers of at most {@code ms} of age. */
    public FeedPace withMaxAge(long ms) {
        return new FeedPace(waitMs, graceMs, restMs, ms);
    }

    /**
     * Returns how long the store may wait for a first change if it answers {@code latencyMs} late.
     * An answer with a change is valid only as of the start of its call, and is followed by a whole
     * call; so its age comes to two waits and two answers.
     */
    long waitMs(long latencyMs) {
        long bounded = (maxAgeMs - restMs) / 2 - latencyMs;
        return Math.min(waitMs, Math.max(MIN_WAIT_MS, bounded));
    }
}
