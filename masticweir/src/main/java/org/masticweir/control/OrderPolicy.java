package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How orders are given to one engine.
 *
 * @param checksFencing whether the engine refuses an order with an old fencing number
 * @param longestDelayMs longest time an order sent can take to have its effect
 * @param auditMs how often an engine that holds what it should is read back
 * @param retryMs pause after a call that failed
 */
public record OrderPolicy(boolean checksFencing, long longestDelayMs, long auditMs, long retryMs) {
    public OrderPolicy {
        checkArgument(longestDelayMs >= 0, "longest delay %s ms", longestDelayMs);
        checkArgument(auditMs >= 1, "audit every %s ms", auditMs);
        checkArgument(retryMs >= 1, "retry after %s ms", retryMs);
    }

    /**
     * Returns how long an engine can hold what a late order of a former holder left behind.
     *
     * <p>It is nothing when the engine checks. Else the order lands right after an audit at worst,
     * is found by the next one and then takes one order's time to correct. This bounds how long the
     * wrong state stands, not when the late order comes: a holder may be paused without bound
     * between its last check of the lease and its send, and no waiting closes that. Not counted:
     * the fetch of weights that correcting a late unload needs, and a version loaded late, which
     * stands unused until it is unloaded as any undeclared one.
     */
    public long exposureMs() {
        return checksFencing ? 0 : auditMs + longestDelayMs;
    }
}
