package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.forward.Step;
import org.masticweir.id.TeamId;

/**
 * What the router says of a request to the server that gets it; immutable.
 *
 * @param request the caller's id of this attempt
 * @param leftMs time that is left for the answer
 */
public record SendHead(String request, Step.Send send, Optional<TeamId> team, long leftMs) {
    public SendHead {
        checkNotNull(request, "request");
        checkNotNull(send, "send");
        checkNotNull(team, "team");
    }
}
