package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.claims.ClaimPolicy;

/**
 * Settings of the deletion of old claims.
 *
 * @param everyMs pause between two pages
 * @param claims policy of the claims that are swept
 */
public record SweepSettings(long retentionMs, int pageRows, long everyMs, ClaimPolicy claims) {
    private static final SweepSettings DEFAULTS =
            new SweepSettings(86_400_000, 500, 10_000, ClaimPolicy.defaults());

    public SweepSettings {
        checkArgument(everyMs >= 1, "page every %s ms", everyMs);
        checkNotNull(claims, "claims");
    }

    /** Returns these settings with another retention. */
    public SweepSettings keeping(long ms) {
        return new SweepSettings(ms, pageRows, everyMs, claims);
    }

    public static SweepSettings defaults() {
        return DEFAULTS;
    }
}
