package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.catalog.TeamName;
import org.masticweir.forward.Step;

/**
 * Metadata that the router adds to the headers of a send; immutable.
 *
 * @param requestId id that the caller has assigned to this attempt
 * @param remainingMs time that remains for the answer, in ms
 */
public record SendMetadata(
        String requestId, Step.Send send, Optional<TeamName> team, long remainingMs) {
    public SendMetadata {
        checkNotNull(requestId, "requestId");
        checkNotNull(send, "send");
        checkNotNull(team, "team");
    }
}
