package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When claims are written by one writer of the domain, and the timeouts for that writer.
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

    /** Allowance for the response's hop and the control threads on the way. */
    private static final long SLACK_MS = 100;

    public SharedWriteLimits {
        checkArgument(shareAbove >= 1, "share above %s routers", shareAbove);
        checkArgument(acceptWaitMs >= 1, "accept wait %s ms", acceptWaitMs);
        checkArgument(outcomeWaitMs >= acceptWaitMs, "outcome wait %s ms", outcomeWaitMs);
        checkArgument(excludeMs >= 1, "exclude for %s ms", excludeMs);
    }

    /**
     * Returns limits with an outcome timeout as long as a healthy writer may take.
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
