package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * What an engine says of its work, as of some hundred ms ago; immutable.
 *
 * @param running ids of the requests that have made a token
 * @param admitted requests in its batch, those whose prompt is being read among them
 * @param waiting requests that wait for a place in it
 */
public record EngineReport(Set<String> running, int admitted, int waiting) {
    public EngineReport {
        running = ImmutableSet.copyOf(running);
        checkArgument(waiting >= 0, "waiting %s", waiting);
    }

    /** Returns whether a request sent long enough ago may still be there. */
    boolean mayHold(String request) {
        boolean reads = admitted > running.size();
        return waiting > 0 || reads || running.contains(request);
    }
}
