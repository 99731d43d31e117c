package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.peer.PeerMessage;

/** Notifies a claimant that the writer queued the claimant's write and will respond. */
record ClaimWriteAccepted(ClaimWriteId id) implements PeerMessage {
    ClaimWriteAccepted {
        checkNotNull(id, "id");
    }
}
