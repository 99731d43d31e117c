package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Determines when one writer of the domain writes all claims, and the timeouts for this writer.
 *
 * @param shareAbove number of serving routers in the domain above which claims are delegated to a
 *     writer
 * @param acceptWaitMs how long a claimant waits for the writer to accept a write before it writes
 *     the row itself
 * @param outcomeWaitMs how long a claimant waits for the outcome of an accepted write
 * @param excludeMs how long a writer is not selected after a failure; doubles with each failure in
 *     a row
 */
public record SharedWriteLimits(
        int shareAbove, long acceptWaitMs, long outcomeWaitMs, long excludeMs) {
    /**
     * Longest queue of urgent rows, in time, at which a writer still accepts writes of other
     * routers.
     */
    static final long MAX_QUEUE_MS = 400;

    /** Allowance for the network transfer of the response and for delays on the control threads. */
    private static final long SLACK_MS = 100;

    public SharedWriteLimits {
        checkArgument(shareAbove >= 1, "share above %s routers", shareAbove);
        checkArgument(acceptWaitMs >= 1, "accept wait %s ms", acceptWaitMs);
        checkArgument(outcomeWaitMs >= acceptWaitMs, "outcome wait %s ms", outcomeWaitMs);
        checkArgument(excludeMs >= 1, "exclude for %s ms", excludeMs);
    }

    /**
     * Returns limits whose outcome timeout is the maximum response time of a healthy writer.
     *
     * @param tableTimeoutMs timeout of a writer's call to the table
     */
    public static SharedWriteLimits of(
            int shareAbove, long acceptWaitMs, long excludeMs, long tableTimeoutMs) {
        long outcomeWaitMs = MAX_QUEUE_MS + tableTimeoutMs + SLACK_MS;
        return new SharedWriteLimits(
                shareAbove, acceptWaitMs, Math.max(acceptWaitMs, outcomeWaitMs), excludeMs);
    }
}
