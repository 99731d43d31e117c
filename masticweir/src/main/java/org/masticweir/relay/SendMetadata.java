package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.forward.Step;
import org.masticweir.id.TeamId;

/**
 * What the router states about a request to the server that receives it; immutable.
 *
 * @param requestId the caller's id of this attempt
 * @param remainingMs time that remains for the answer
 */
public record SendMetadata(
        String requestId, Step.Send send, Optional<TeamId> team, long remainingMs) {
    public SendMetadata {
        checkNotNull(requestId, "requestId");
        checkNotNull(send, "send");
        checkNotNull(team, "team");
    }
}
