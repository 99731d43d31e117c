package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Settings of the claim service.
 *
 * @param timeoutMs timeout of one call to the table
 */
public record ClaimServiceSettings(ClaimPolicy policy, BatchLimits batch, long timeoutMs) {
    private static final ClaimServiceSettings DEFAULTS =
            new ClaimServiceSettings(ClaimPolicy.defaults(), BatchLimits.defaults(), 500);

    public ClaimServiceSettings {
        checkNotNull(policy, "policy");
        checkNotNull(batch, "batch");
        checkArgument(timeoutMs >= 1, "timeout %s ms", timeoutMs);
    }

    public static ClaimServiceSettings defaults() {
        return DEFAULTS;
    }
}
