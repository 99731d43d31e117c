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
final class ReturnSchedule {
    private static final long MIN_MS = 100;
    private static final long MAX_MS = 30_000;
    private static final double JITTER = 0.5;

    private final RandomGenerator random;
    private double bookedUntilMs;

    ReturnSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Returns how long to stay away, with {@code backlogMs} of work waiting now. */
    long book(double backlogMs, double serviceIntervalMs, long nowMs) {
        double start = Math.max(bookedUntilMs, nowMs + backlogMs);
        bookedUntilMs = Math.min(start + serviceIntervalMs, nowMs + MAX_MS);
        double ms = (bookedUntilMs - nowMs) * (1 + JITTER * (random.nextDouble() - 0.5));
        return Math.round(Math.max(MIN_MS * (1 + random.nextDouble()), ms));
    }
}
