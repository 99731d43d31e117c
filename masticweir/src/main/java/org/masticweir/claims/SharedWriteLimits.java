package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When claims go through one writer of the domain, and how long that writer is waited for.
 *
 * @param shareAbove serving routers of the domain above which claims go through a writer
 * @param acceptWaitMs how long a writer may stay silent before the claimant writes for itself
 * @param outcomeWaitMs how long an outcome is waited for once the writer took the write
 * @param excludeMs how long a writer that failed is left out; doubles with each failure in a row
 */
public record SharedWriteLimits(
        int shareAbove, long acceptWaitMs, long outcomeWaitMs, long excludeMs) {
    /** Longest queue of urgent rows, in time, at which a writer still takes writes of others. */
    static final long MAX_QUEUE_MS = 400;

    /** For the hop back and the control threads on the way. */
    private static final long SLACK_MS = 100;

    public SharedWriteLimits {
        checkArgument(shareAbove >= 1, "share above %s routers", shareAbove);
        checkArgument(acceptWaitMs >= 1, "accept wait %s ms", acceptWaitMs);
        checkArgument(outcomeWaitMs >= acceptWaitMs, "outcome wait %s ms", outcomeWaitMs);
        checkArgument(excludeMs >= 1, "exclude for %s ms", excludeMs);
    }

    /**
     * Returns limits under which an outcome is waited for as long as a writer that lives may take.
     *
     * @param tableTimeoutMs deadline of a writer's call to the table
     */
    public static SharedWriteLimits of(
            int shareAbove, long acceptWaitMs, long excludeMs, long tableTimeoutMs) {
        long outcomeWaitMs = MAX_QUEUE_MS + tableTimeoutMs + SLACK_MS;
        return new SharedWriteLimits(
                shareAbove, acceptWaitMs, Math.max(acceptWaitMs, outcomeWaitMs), excludeMs);
    }
}
