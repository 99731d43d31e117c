package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of the orders to engines.
 *
 * @param timeoutMs deadline of one call to an engine
 * @param longestDelayMs longest time an order sent can take to have its effect
 * @param auditMs how often at least the router reads an engine's holdings
 * @param retryMs pause after a call that failed
 * @param unloadAfterMs how long nothing declares a version before it is unloaded; must be above the
 *     longest generation and the time a deployment takes to be in force everywhere
 * @param writesPerSecond journal rows written at most; the domain's share of the table
 */
public record OrderSettings(
        long timeoutMs,
        long longestDelayMs,
        long auditMs,
        long retryMs,
        long unloadAfterMs,
        double writesPerSecond) {
    private static final OrderSettings DEFAULTS =
            new OrderSettings(2_000, 5_000, 5_000, 500, 1_800_000, 10);

    public OrderSettings {
        checkArgument(timeoutMs >= 1, "timeout %s ms", timeoutMs);
        checkArgument(unloadAfterMs >= 1, "unload after %s ms", unloadAfterMs);
        checkArgument(writesPerSecond > 0, "writes per second %s", writesPerSecond);
    }

    /** Returns these settings with another time before a version is unloaded. */
    public OrderSettings unloadingAfter(long ms) {
        return new OrderSettings(timeoutMs, longestDelayMs, auditMs, retryMs, ms, writesPerSecond);
    }

    public static OrderSettings defaults() {
        return DEFAULTS;
    }

    OrderPolicy policy(boolean checksFencing) {
        return new OrderPolicy(checksFencing, longestDelayMs, auditMs, retryMs);
    }
}
