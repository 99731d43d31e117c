package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits on the attempts and the duration of a claim.
 *
 * @param maxTries writes of one claim before its caller is refused
 * @param settleForMs how long the write of a released or done row is retried; longer than domains
 *     are partitioned from the platform
 * @param settleDelayMs pause before the first retry of such a write; doubles with each retry
 * @param sendWithinMs how long after its first write a claim permits sending
 * @param retryAfterMs retry delay for a caller refused while the table is unavailable
 */
public record ClaimPolicy(
        int maxTries, long settleForMs, long settleDelayMs, long sendWithinMs, long retryAfterMs) {
    private static final ClaimPolicy DEFAULTS = new ClaimPolicy(3, 7_200_000, 500, 60_000, 2_000);

    public ClaimPolicy {
        checkArgument(maxTries >= 1, "tries %s", maxTries);
        checkArgument(settleForMs >= 1, "settle for %s ms", settleForMs);
        checkArgument(settleDelayMs >= 1, "settle delay %s ms", settleDelayMs);
        checkArgument(sendWithinMs >= 1, "send within %s ms", sendWithinMs);
        checkArgument(retryAfterMs >= 0, "retry after %s ms", retryAfterMs);
    }

    public static ClaimPolicy defaults() {
        return DEFAULTS;
    }
}
