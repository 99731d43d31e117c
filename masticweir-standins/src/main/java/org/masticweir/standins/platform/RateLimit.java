package org.masticweir.standins.platform;

import static com.google.common.base.Preconditions.checkArgument;

/** A token bucket that holds one second's worth of permits; thread-safe. */
final class RateLimit {
    private static final double MS_PER_S = 1000;

    private final double perS;
    private final double capacity;
    private double permits;
    private long filledAtMs;

    private RateLimit(double perS, long nowMs) {
        this.perS = perS;
        capacity = Math.max(1, perS);
        permits = capacity;
        filledAtMs = nowMs;
    }

    /** Returns a full bucket refilled at {@code perS}; 0 means no limit. */
    static RateLimit perS(double perS, long nowMs) {
        checkArgument(perS >= 0 && Double.isFinite(perS), "rate of %s per second", perS);
        return new RateLimit(perS, nowMs);
    }

    /** Takes a permit and returns 0, or returns the milliseconds until there is one. */
    synchronized long take(long nowMs) {
        if (perS == 0) {
            return 0;
        }
        long passedMs = Math.max(0, nowMs - filledAtMs);
        permits = Math.min(capacity, permits + passedMs * perS / MS_PER_S);
        filledAtMs += passedMs;
        if (permits >= 1) {
            permits--;
            return 0;
        }
        return (long) Math.ceil((1 - permits) * MS_PER_S / perS);
    }
}
