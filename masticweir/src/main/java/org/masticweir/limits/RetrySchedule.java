package org.masticweir.limits;

import java.util.random.RandomGenerator;

/**
 * Tells refused callers when to come back, so that they don't come back together.
 *
 * <p>Failure guarded against: callers refused in one second return in one second and are refused
 * again. Each refusal books the next moment at which one more request could be served, so the time
 * grows with all that wait or were sent away, and jitter breaks up what is left in step.
 *
 * <p>Not thread-safe.
 */
final class RetrySchedule {
    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final long MAX_RETRY_AFTER_MS = 30_000;
    private static final double JITTER = 0.5;

    private final RandomGenerator random;
    private double reservedUntilMs;

    RetrySchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Returns how long to stay away, with {@code backlogMs} of work waiting now. */
    long reserve(double backlogMs, double serviceIntervalMs, long nowMs) {
        double start = Math.max(reservedUntilMs, nowMs + backlogMs);
        reservedUntilMs = Math.min(start + serviceIntervalMs, nowMs + MAX_RETRY_AFTER_MS);
        double ms = (reservedUntilMs - nowMs) * (1 + JITTER * (random.nextDouble() - 0.5));
        return Math.round(Math.max(MIN_RETRY_AFTER_MS * (1 + random.nextDouble()), ms));
    }
}
