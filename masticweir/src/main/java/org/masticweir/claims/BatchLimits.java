package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of one router's group commit.
 *
 * @param maxRows maximum number of rows in one transaction
 * @param waitMs how long the first row of a transaction waits for further rows
 * @param lazyWaitMs how long the first row waits if no caller waits for the row
 * @param queueRows maximum number of queued rows that a caller waits for
 * @param lazyRows maximum number of queued rows that no caller waits for
 * @param inFlight maximum number of concurrent transactions
 * @param writesPerSecond this router's share of the table's write rate, in transactions
 * @param failuresToPause transactions in a row without a usable response that count as an outage
 * @param pauseMs how long to wait during an outage before the next attempt
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

    /** Returns a copy of these limits with another wait of the first row. */
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
