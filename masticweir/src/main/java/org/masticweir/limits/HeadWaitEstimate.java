package org.masticweir.limits;

/**
 * How long the first of a class's queue waits for its turn, as seen lately; not thread-safe.
 *
 * <p>What the other classes take, and what comes later and goes first, is in it without a model.
 */
final class HeadWaitEstimate {
    private static final double SMOOTHING = 0.1;

    /** A turn that lasts so many times the mean has become the better estimate. */
    private static final double OVERDUE_FACTOR = 3;

    /**
     * Time in which a mean falls to 1/e without new turns, in ms: one that refuses all that would
     * wait would get no turns to correct it.
     */
    private static final double DECAY_MS = 5_000;

    private double meanMs;
    private long headSinceMs;
    private long lastServedAtMs;

    /** Takes note that a queue that was empty has a first request. */
    void startWait(long nowMs) {
        headSinceMs = nowMs;
    }

    /** Takes note that the first request is let in, and the next one is first. */
    void recordServed(long nowMs) {
        double waitMs = nowMs - headSinceMs;
        meanMs = meanMs == 0 ? waitMs : meanMs + SMOOTHING * (waitMs - meanMs);
        headSinceMs = nowMs;
        lastServedAtMs = nowMs;
    }

    /**
     * Returns the time of one turn, or {@code estimateMs} while none was seen lately.
     *
     * <p>Failure guarded against: engines stop taking work and the mean of better times lets a
     * queue grow that nobody serves. A turn that lasts long counts before it has ended.
     */
    double expectedMs(double fallbackMs, boolean isWaiting, long nowMs) {
        double freshness = meanMs > 0 ? Math.exp(-(nowMs - lastServedAtMs) / DECAY_MS) : 0;
        double expectedMs = freshness * meanMs + (1 - freshness) * fallbackMs;
        return isWaiting
                ? Math.max(expectedMs, (nowMs - headSinceMs) / OVERDUE_FACTOR)
                : expectedMs;
    }
}
