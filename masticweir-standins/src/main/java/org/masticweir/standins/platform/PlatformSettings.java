package org.masticweir.standins.platform;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;

/** The flags of a platform stand-in; a rate of 0 means no limit. */
record PlatformSettings(
        InetSocketAddress listen,
        long listLagMs,
        double writeLimitPerS,
        double readLimitPerS,
        double weightLoadsPerS,
        long loadMs) {
    PlatformSettings {
        checkArgument(listLagMs >= 0, "list lag of %s ms", listLagMs);
        checkArgument(loadMs >= 0, "load of %s ms", loadMs);
        checkRate("write limit", writeLimitPerS);
        checkRate("read limit", readLimitPerS);
        checkRate("weight loads", weightLoadsPerS);
    }

    private static void checkRate(String what, double perS) {
        checkArgument(perS >= 0 && Double.isFinite(perS), "%s of %s per second", what, perS);
    }
}
