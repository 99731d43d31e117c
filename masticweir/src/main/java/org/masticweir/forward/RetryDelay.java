package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.random.RandomGenerator;

/** Delay after which the caller of a refused request may retry. */
final class RetryDelay {
    /** Divisor of the time goal that gives the minimum retry delay of a refused caller. */
    private static final int GOAL_DIVISOR = 4;

    private final long baseMs;
    private final RandomGenerator random;

    /**
     * Creates the delay for a route.
     *
     * @param goalMs time goal of the route
     * @param random spreads the callers, so that they don't all return at once
     */
    RetryDelay(long goalMs, RandomGenerator random) {
        baseMs = Math.max(1, goalMs / GOAL_DIVISOR);
        this.random = checkNotNull(random, "random");
    }

    /** Returns a delay of at least {@code minMs}, in ms. */
    long nextMs(long minMs) {
        return Math.max(baseMs, minMs) + random.nextLong(baseMs);
    }
}
