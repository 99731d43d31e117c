package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.bench.caller.CallRequest;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/**
 * A call that a load will make.
 *
 * @param atMs intended arrival, from the start of the load
 */
record PlannedCall(long atMs, ClassProfile profile, CallRequest request) {
    PlannedCall {
        checkNotNull(profile, "profile");
        checkNotNull(request, "request");
    }

    /** Returns the id under which routers and engines know the request. */
    String requestId() {
        return RequestId.forKey(TeamId.of(request.team()), request.key()).value();
    }
}
