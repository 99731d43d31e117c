package org.masticweir.limits;

import java.util.random.RandomGenerator;

/**
 * Computes the retry delays of refused callers so that they don't retry at the same time.
 *
 * <p>Without this, callers refused within one second would retry within one second and be refused
 * again. Each refusal reserves the next time at which one more request could be served, so the
 * delay grows with the number of queued and refused requests; jitter spreads retries that would
 * still coincide.
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

    /** Returns the retry delay for a queue whose requests take {@code backlogMs} to serve. */
    long reserve(double backlogMs, double serviceIntervalMs, long nowMs) {
        double start = Math.max(reservedUntilMs, nowMs + backlogMs);
        reservedUntilMs = Math.min(start + serviceIntervalMs, nowMs + MAX_RETRY_AFTER_MS);
        double ms = (reservedUntilMs - nowMs) * (1 + JITTER * (random.nextDouble() - 0.5));
        return Math.round(Math.max(MIN_RETRY_AFTER_MS * (1 + random.nextDouble()), ms));
    }
}
