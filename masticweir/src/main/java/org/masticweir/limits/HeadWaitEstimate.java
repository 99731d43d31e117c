package org.masticweir.limits;

/**
 * Recent mean time that the first request of a class queue waits until it is admitted; not
 * thread-safe.
 *
 * <p>The measured time includes the effects of other classes, which use slots, and of later
 * requests that are served first. These effects therefore need no model.
 */
final class HeadWaitEstimate {
    private static final double SMOOTHING = 0.1;

    /** Multiple of the mean above which a current wait is the better estimate. */
    private static final double OVERDUE_FACTOR = 3;

    /**
     * Time in which the weight of the mean decays to 1/e without new samples, in ms. Without decay,
     * a mean that is too high could make a queue refuse all requests. The queue would then get no
     * samples to correct the mean.
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
     * <p>A wait in progress also counts if it is long. Without this, if engines stop accepting
     * requests, the mean of earlier samples would stay low and the queue would grow although no
     * request is served.
     */
    double expectedMs(double fallbackMs, boolean isWaiting, long nowMs) {
        double freshness = meanMs > 0 ? Math.exp(-(nowMs - lastServedAtMs) / DECAY_MS) : 0;
        double expectedMs = freshness * meanMs + (1 - freshness) * fallbackMs;
        return isWaiting
                ? Math.max(expectedMs, (nowMs - headSinceMs) / OVERDUE_FACTOR)
                : expectedMs;
    }
}
