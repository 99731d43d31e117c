package org.masticweir.it;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One fault or order of a plan; immutable.
 *
 * @param atMs when it begins, after the start of the load
 * @param target number of the process or domain that it strikes
 * @param other number of a second process, or of a mode; what it means depends on the kind
 * @param forMs how long it lasts, 0 for one that only happens
 */
record FaultStep(long atMs, Kind kind, int target, int other, long forMs) {
    FaultStep {
        checkNotNull(kind, "kind");
        checkArgument(atMs >= 0 && forMs >= 0, "%s at %s for %s ms", kind, atMs, forMs);
    }

    /** What a step strikes. Two steps that overlap never strike the same thing. */
    enum Strikes {
        ENGINE,
        ROUTER,
        PEER_LINK,
        DOMAIN,
        PLATFORM,
        SERVICE,
        OPERATORS
    }

    /** What happens in a step, for how long it may, and what it strikes. */
    enum Kind {
        KILL_ENGINE(Strikes.ENGINE, 500, 2_000),
        PAUSE_ENGINE(Strikes.ENGINE, 500, 3_500),
        CUT_ENGINE_LINK(Strikes.ENGINE, 300, 3_000),
        ENGINE_LEAVES(Strikes.ENGINE, 5_500, 6_000),
        KILL_ROUTER(Strikes.ROUTER, 300, 2_000),
        PAUSE_ROUTER(Strikes.ROUTER, 500, 4_000),
        DRAIN_ROUTER(Strikes.ROUTER, 3_000, 4_000),
        CUT_PEER_LINK(Strikes.PEER_LINK, 300, 3_500),
        CUT_DOMAIN_FROM_PLATFORM(Strikes.DOMAIN, 500, 4_000),
        /** Neither domain reaches routers or back ends of the other one. */
        CUT_DOMAIN_FROM_OTHER(Strikes.DOMAIN, 1_000, 4_000),
        /** The domain reaches neither the other one nor the platform. */
        CUT_DOMAIN_OFF(Strikes.DOMAIN, 1_000, 4_000),
        PLATFORM_OUT(Strikes.PLATFORM, 500, 3_000),
        PLATFORM_SLOW(Strikes.PLATFORM, 1_000, 3_000),
        PLATFORM_LOSES_ANSWERS(Strikes.PLATFORM, 300, 500),
        SERVICE_LOSES_ANSWERS(Strikes.SERVICE, 300, 500),
        PAUSE_SERVICE(Strikes.SERVICE, 300, 1_500),
        RACE_OF_OPERATORS(Strikes.OPERATORS, 0, 100);

        private final Strikes strikes;
        private final int leastMs;
        private final int mostMs;

        Kind(Strikes strikes, int leastMs, int mostMs) {
            this.strikes = strikes;
            this.leastMs = leastMs;
            this.mostMs = mostMs;
        }

        /** Tells whether the domains are cut from each other. */
        boolean cutsDomains() {
            return this == CUT_DOMAIN_FROM_OTHER || this == CUT_DOMAIN_OFF;
        }

        Strikes strikes() {
            return strikes;
        }

        int leastMs() {
            return leastMs;
        }

        int mostMs() {
            return mostMs;
        }
    }

    long endMs() {
        return atMs + forMs;
    }

    /** Tells whether this step and {@code step} go on at one moment. */
    boolean overlaps(FaultStep step) {
        return atMs <= step.endMs() && step.atMs <= endMs();
    }

    /** Tells whether both steps strike the same thing; one cut is between both domains. */
    boolean strikesLike(FaultStep step) {
        boolean cut = kind.cutsDomains() || step.kind.cutsDomains();
        return kind.strikes() == step.kind.strikes() && (target == step.target || cut);
    }
}
