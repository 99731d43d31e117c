package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of membership; immutable.
 *
 * @param heartbeatMs time between heartbeats within the own domain
 * @param suspectMs silence after which a member of the own domain is suspect
 * @param deadMs silence after which it is dead
 * @param farFactor how many times longer all three are towards other domains
 * @param maxOwnPeers most members of the own domain that are kept and heard
 * @param peersPerDomain members of each other domain that heartbeats go to
 * @param keptPerDomain members of each other domain that are known as replacements, those included
 * @param maxRetryMs longest wait before a dead but listed member is tried again
 */
public record MembershipSettings(
        int heartbeatMs,
        int suspectMs,
        int deadMs,
        int farFactor,
        int maxOwnPeers,
        int peersPerDomain,
        int keptPerDomain,
        int maxRetryMs) {
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(3000, 7000, 20_000, 2, 64, 2, 6, 60_000);

    public MembershipSettings {
        checkArgument(heartbeatMs > 0, "heartbeat_ms %s", heartbeatMs);
        checkArgument(suspectMs > 2 * heartbeatMs, "suspect_ms %s too short", suspectMs);
        checkArgument(deadMs > suspectMs, "dead_ms %s not over suspect_ms", deadMs);
        checkArgument(farFactor >= 1, "far_factor %s", farFactor);
        checkArgument(maxOwnPeers >= 1, "max_own_peers %s", maxOwnPeers);
        checkArgument(peersPerDomain >= 1, "peers_per_domain %s", peersPerDomain);
        checkArgument(keptPerDomain >= peersPerDomain, "kept_per_domain %s", keptPerDomain);
        checkArgument(maxRetryMs >= deadMs, "max_retry_ms %s", maxRetryMs);
    }
}
