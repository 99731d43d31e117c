package org.masticweir.limits;

/**
 * How long the first of a class's queue waits for its turn, as seen lately; not thread-safe.
 *
 * <p>What the other classes take, and what comes later and goes first, is in it without a model.
 */
final class TurnTime {
    private static final double GAIN = 0.1;

    /** A turn that lasts so many times the mean has become the better estimate. */
    private static final double OVERDUE_TIMES = 3;

    /**
     * Time in which a mean falls to 1/e without new turns, in ms: one that refuses all that would
     * wait would get no turns to correct it.
     */
    private static final double MEMORY_MS = 5_000;

    private double meanMs;
    private long firstSinceMs;
    private long servedAtMs;

    /** Takes note that a queue that was empty has a first request. */
    void began(long nowMs) {
        firstSinceMs = nowMs;
    }

    /** Takes note that the first request is let in, and the next one is first. */
    void served(long nowMs) {
        double turnMs = nowMs - firstSinceMs;
        meanMs = meanMs == 0 ? turnMs : meanMs + GAIN * (turnMs - meanMs);
        firstSinceMs = nowMs;
        servedAtMs = nowMs;
    }

    /**
     * Returns the time of one turn, or {@code estimateMs} while none was seen lately.
     *
     * <p>Failure guarded against: engines stop taking work and the mean of better times lets a
     * queue grow that nobody serves. A turn that lasts long counts before it has ended.
     */
    double ms(double estimateMs, boolean waiting, long nowMs) {
        double fresh = meanMs > 0 ? Math.exp(-(nowMs - servedAtMs) / MEMORY_MS) : 0;
        double expectedMs = fresh * meanMs + (1 - fresh) * estimateMs;
        return waiting ? Math.max(expectedMs, (nowMs - firstSinceMs) / OVERDUE_TIMES) : expectedMs;
    }
}
