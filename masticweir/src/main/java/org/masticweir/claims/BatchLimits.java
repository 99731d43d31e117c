package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on the group commit of one router.
 *
 * @param maxRows rows in one transaction
 * @param waitMs how long the first row waits for others
 * @param lazyWaitMs the same for rows that no caller waits for
 * @param queueRows rows that wait with a caller
 * @param lazyRows rows that wait without one
 * @param inFlight transactions under way at once
 * @param writesPerSecond this router's part of the table's writes, in transactions
 * @param failuresToPause transactions in a row without a usable answer that count as an outage
 * @param pauseMs how long the table is left alone before the next try during an outage
 */
public record BatchLimits(
        int maxRows,
        long waitMs,
        long lazyWaitMs,
        int queueRows,
        int lazyRows,
        int inFlight,
        double writesPerSecond,
        int failuresToPause,
        long pauseMs) {
    private static final BatchLimits DEFAULTS =
            new BatchLimits(64, 5, 250, 2_048, 8_192, 4, 20, 3, 1_000);

    public BatchLimits {
        checkArgument(maxRows >= 1, "rows %s", maxRows);
        checkArgument(waitMs >= 0, "wait %s ms", waitMs);
        checkArgument(lazyWaitMs >= waitMs, "lazy wait %s ms below wait", lazyWaitMs);
        checkArgument(queueRows >= 1, "queue rows %s", queueRows);
        checkArgument(lazyRows >= 1, "lazy rows %s", lazyRows);
        checkArgument(inFlight >= 1, "in flight %s", inFlight);
        checkArgument(writesPerSecond > 0, "writes per second %s", writesPerSecond);
        checkArgument(failuresToPause >= 1, "failures %s", failuresToPause);
        checkArgument(pauseMs >= 1, "pause %s ms", pauseMs);
    }

    /** Returns these limits with another wait of the first row. */
    public BatchLimits withWaitMs(long ms) {
        return new BatchLimits(
                maxRows,
                ms,
                Math.max(ms, lazyWaitMs),
                queueRows,
                lazyRows,
                inFlight,
                writesPerSecond,
                failuresToPause,
                pauseMs);
    }

    public static BatchLimits defaults() {
        return DEFAULTS;
    }
}
