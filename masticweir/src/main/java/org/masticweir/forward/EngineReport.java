package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalLong;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;

/**
 * What an engine says of its work, as of some hundred ms ago; immutable.
 *
 * @param running ids of the requests that have made a token
 * @param admitted requests in its batch, those whose prompt is being read among them
 * @param waiting requests that wait for a place in it
 * @param startedMs Unix time of the engine's start, in ms, if it says so
 */
public record EngineReport(Set<String> running, int admitted, int waiting, OptionalLong startedMs) {
    public EngineReport {
        running = ImmutableSet.copyOf(running);
        checkArgument(waiting >= 0, "waiting %s", waiting);
        checkNotNull(startedMs, "startedMs");
    }

    /**
     * Returns whether it may come from {@code incarnation}; an engine that restarted has another
     * start.
     */
    public boolean isFrom(ServerIncarnation incarnation) {
        return startedMs.isEmpty()
                || !incarnation.isStartKnown()
                || startedMs.getAsLong() == incarnation.startedMs();
    }

    /** Returns whether a request sent long enough ago may still be there. */
    boolean mayHaveRequest(String requestId) {
        boolean isPrefilling = admitted > running.size();
        return waiting > 0 || isPrefilling || running.contains(requestId);
    }
}
