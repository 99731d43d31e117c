package org.masticweir.limits;

/**
 * Recent mean time that the first request of a class queue waits until it is admitted; not
 * thread-safe.
 *
 * <p>The measured time includes the slots that other classes take and later requests that are
 * served first, so these need no model.
 */
final class HeadWaitEstimate {
    private static final double SMOOTHING = 0.1;

    /** A current wait above this multiple of the mean is the better estimate. */
    private static final double OVERDUE_FACTOR = 3;

    /**
     * Time in which the weight of the mean decays to 1/e without new samples, in ms. Without decay,
     * a queue that refuses every request that would wait would get no samples to correct the mean.
     */
    private static final double DECAY_MS = 5_000;

    private double meanMs;
    private long headSinceMs;
    private long lastServedAtMs;

    /** Starts the wait of the first request of a queue that was empty. */
    void startWait(long nowMs) {
        headSinceMs = nowMs;
    }

    /** Records that the first request was admitted; the wait of the next one starts. */
    void recordServed(long nowMs) {
        double waitMs = nowMs - headSinceMs;
        meanMs = meanMs == 0 ? waitMs : meanMs + SMOOTHING * (waitMs - meanMs);
        headSinceMs = nowMs;
        lastServedAtMs = nowMs;
    }

    /**
     * Returns the expected wait of the first request, or {@code fallbackMs} without recent samples.
     *
     * <p>A long wait counts before it has ended. Without this, when engines stop taking requests,
     * the mean of better times would let a queue grow that is not served.
     */
    double expectedMs(double fallbackMs, boolean isWaiting, long nowMs) {
        double freshness = meanMs > 0 ? Math.exp(-(nowMs - lastServedAtMs) / DECAY_MS) : 0;
        double expectedMs = freshness * meanMs + (1 - freshness) * fallbackMs;
        return isWaiting
                ? Math.max(expectedMs, (nowMs - headSinceMs) / OVERDUE_FACTOR)
                : expectedMs;
    }
}
