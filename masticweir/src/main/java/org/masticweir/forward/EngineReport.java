package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalLong;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;

/**
 * An engine's report of its requests; immutable. A report is some hundred ms old.
 *
 * @param running ids of the requests that have generated a token
 * @param admitted requests in the engine's batch, including requests in prefill
 * @param waiting requests that wait for a slot in the batch
 * @param startedMs Unix time of the engine's start, in ms; empty if the engine does not report the
 *     time
 */
public record EngineReport(Set<String> running, int admitted, int waiting, OptionalLong startedMs) {
    public EngineReport {
        running = ImmutableSet.copyOf(running);
        checkArgument(waiting >= 0, "waiting %s", waiting);
        checkNotNull(startedMs, "startedMs");
    }

    /**
     * Returns whether {@code incarnation} may have sent this report: a restarted engine reports
     * another start time.
     */
    public boolean isFrom(ServerIncarnation incarnation) {
        return startedMs.isEmpty()
                || !incarnation.isStartKnown()
                || startedMs.getAsLong() == incarnation.startedMs();
    }

    /**
     * Returns whether the engine may still have the request. The request must have been sent before
     * the report was made.
     */
    boolean mayHaveRequest(String requestId) {
        boolean isPrefilling = admitted > running.size();
        return waiting > 0 || isPrefilling || running.contains(requestId);
    }
}
