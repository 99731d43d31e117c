package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of membership; immutable.
 *
 * @param heartbeatMs shortest time between heartbeats within the own domain
 * @param heartbeatMaxMs longest such time
 * @param heartbeatBytesPerS bytes a second, sent and received with headers, that heartbeats may
 *     take before the time between them grows
 * @param suspectMs silence after which a member of the own domain with the shortest time is suspect
 * @param deadMs silence after which it is dead
 * @param farFactor how many times longer all four times are towards other domains
 * @param maxOwnPeers most members of the own domain that are kept and heard
 * @param peersPerDomain members of each other domain that heartbeats go to
 * @param keptPerDomain members of each other domain that are known as replacements, those included
 * @param maxRetryMs longest wait before a dead but listed member is tried again
 */
public record MembershipSettings(
        int heartbeatMs,
        int heartbeatMaxMs,
        int heartbeatBytesPerS,
        int suspectMs,
        int deadMs,
        int farFactor,
        int maxOwnPeers,
        int peersPerDomain,
        int keptPerDomain,
        int maxRetryMs) {
    /** Heartbeats at a fixed time of three seconds. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(3000, 3000, 6000, 7000, 20_000, 2, 64, 2, 6, 60_000);

    public MembershipSettings {
        checkArgument(heartbeatMs > 0, "heartbeat_ms %s", heartbeatMs);
        checkArgument(heartbeatMaxMs >= heartbeatMs, "heartbeat_max_ms %s", heartbeatMaxMs);
        checkArgument(heartbeatBytesPerS > 0, "heartbeat_bytes_per_s %s", heartbeatBytesPerS);
        checkArgument(suspectMs > 2 * heartbeatMs, "suspect_ms %s too short", suspectMs);
        checkArgument(deadMs > suspectMs, "dead_ms %s not over suspect_ms", deadMs);
        checkArgument(farFactor >= 1, "far_factor %s", farFactor);
        checkArgument(maxOwnPeers >= 1, "max_own_peers %s", maxOwnPeers);
        checkArgument(peersPerDomain >= 1, "peers_per_domain %s", peersPerDomain);
        checkArgument(keptPerDomain >= peersPerDomain, "kept_per_domain %s", keptPerDomain);
        checkArgument(maxRetryMs >= deadMs, "max_retry_ms %s", maxRetryMs);
    }

    /** Returns these settings with other times and another budget of heartbeats. */
    public MembershipSettings withHeartbeats(
            int everyMs, int maxMs, int bytesPerS, int silentMs, int lostMs) {
        return new MembershipSettings(
                everyMs,
                maxMs,
                bytesPerS,
                silentMs,
                lostMs,
                farFactor,
                maxOwnPeers,
                peersPerDomain,
                keptPerDomain,
                Math.max(maxRetryMs, lostMs));
    }

    /**
     * Returns the silence after which a member of the own domain is suspect that announced {@code
     * intervalMs}: two more intervals, and what {@code suspect_ms} has over two of {@code
     * heartbeat_ms}.
     */
    long suspectMs(long intervalMs) {
        return suspectMs + 2 * Math.max(0, intervalMs - heartbeatMs);
    }

    /** Returns the silence after which such a member is dead, in the same ratio to suspect. */
    long deadMs(long intervalMs) {
        return suspectMs(intervalMs) * deadMs / suspectMs;
    }
}
