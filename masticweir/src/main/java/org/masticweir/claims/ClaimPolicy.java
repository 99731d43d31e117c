package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long and how often a claim is tried.
 *
 * @param maxTries writes of one claim before its caller is refused
 * @param settleTries writes that clean up or store a result before they are given up
 * @param settleDelayMs pause before the first repeat of such a write; doubles each time
 * @param sendWithinMs how long after its first write a claim permits sending
 * @param retryAfterMs advice to a caller refused while the table is out of reach
 */
public record ClaimPolicy(
        int maxTries, int settleTries, long settleDelayMs, long sendWithinMs, long retryAfterMs) {
    private static final ClaimPolicy DEFAULTS = new ClaimPolicy(3, 64, 500, 60_000, 2_000);

    public ClaimPolicy {
        checkArgument(maxTries >= 1, "tries %s", maxTries);
        checkArgument(settleTries >= 1, "settle tries %s", settleTries);
        checkArgument(settleDelayMs >= 1, "settle delay %s ms", settleDelayMs);
        checkArgument(sendWithinMs >= 1, "send within %s ms", sendWithinMs);
        checkArgument(retryAfterMs >= 0, "retry after %s ms", retryAfterMs);
    }

    public static ClaimPolicy defaults() {
        return DEFAULTS;
    }
}
