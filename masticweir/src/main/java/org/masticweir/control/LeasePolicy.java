package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times of a lease.
 *
 * @param durationMs how long one write holds it
 * @param renewMs how often the holder writes it anew
 * @param marginMs how long before its end the holder stops acting; covers the drift of clocks
 * @param pollMs how often others look at the row
 * @param retryMs pause after a call that failed
 */
public record LeasePolicy(long durationMs, long renewMs, long marginMs, long pollMs, long retryMs) {
    private static final LeasePolicy DEFAULTS = new LeasePolicy(10_000, 3_000, 1_000, 2_000, 500);

    public LeasePolicy {
        checkArgument(renewMs >= 1, "renewal every %s ms", renewMs);
        checkArgument(marginMs >= 0, "margin %s ms", marginMs);
        checkArgument(renewMs + marginMs < durationMs, "no time to renew within %s ms", durationMs);
        checkArgument(pollMs >= 1, "poll every %s ms", pollMs);
        checkArgument(retryMs >= 1, "retry after %s ms", retryMs);
    }

    public static LeasePolicy defaults() {
        return DEFAULTS;
    }
}
