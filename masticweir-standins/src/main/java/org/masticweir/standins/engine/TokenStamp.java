package org.masticweir.standins.engine;

/**
 * A token that tells when it was computed, for measurements of a way's latency.
 *
 * <p>It holds the low 31 bits of the system's monotonic clock in microseconds, which all processes
 * of one machine share; it wraps after some 35 minutes.
 */
public final class TokenStamp {
    private static final long NS_PER_US = 1000;
    private static final long LOW_31_BITS = 0x7FFF_FFFFL;

    private TokenStamp() {}

    /** Returns the stamp of this moment. */
    public static int now() {
        return (int) (System.nanoTime() / NS_PER_US & LOW_31_BITS);
    }

    /** Returns the microseconds from {@code stamp} to {@code later}, at most one wrap apart. */
    public static long usBetween(int stamp, int later) {
        return later - stamp & LOW_31_BITS;
    }
}
