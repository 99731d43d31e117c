package org.masticweir.instances;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often a router reads the instance list, by the length of the list; immutable.
 *
 * <p>The list can only be read whole, so that a read costs more the larger the fleet is.
 *
 * @param pollMs time between two reads of a router alone, as long as they fit the bytes
 * @param maxPollMs longest time between two reads of a router alone
 * @param bytesPerS bytes a second that one router spends on reads, before the time grows
 */
public record ReadPace(long pollMs, long maxPollMs, int bytesPerS) {
    /** Bytes of a row as it is read, from 390 KB for 2,990 rows. */
    static final int ROW_BYTES = 130;

    /** Routers that, reading at the full rate, would read as often as the domain does. */
    static final int FULL_RATE_ROUTERS = 2;

    private static final long MS_PER_S = 1000;

    public ReadPace {
        checkArgument(pollMs > 0, "poll of %s ms", pollMs);
        checkArgument(maxPollMs >= pollMs, "longest poll of %s ms", maxPollMs);
        checkArgument(bytesPerS > 0, "%s bytes a second", bytesPerS);
    }

    /** Returns the mean time between two reads of one of {@code routers} that take turns. */
    long meanMs(int routers, int rows) {
        int sharing = Math.max(routers, FULL_RATE_ROUTERS);
        long leastMs = pollMs * sharing / FULL_RATE_ROUTERS;
        long mostMs = maxPollMs * sharing / FULL_RATE_ROUTERS;
        long bytesMs = (long) ROW_BYTES * rows * MS_PER_S / bytesPerS;
        return Math.max(leastMs, Math.min(mostMs, bytesMs));
    }
}
