package org.masticweir.claims;

import java.util.concurrent.CompletableFuture;
import org.masticweir.id.RouterId;

/** Sends claim messages between the routers of a domain; never blocks. */
interface WriterLinks {
    /**
     * Delegates a write to {@code writer}.
     *
     * <p>The future fails with a {@link org.masticweir.error.MasticweirException}, which states
     * that the request was not run if the writer certainly has not queued the write.
     */
    CompletableFuture<ClaimWriteResponse> sendWrite(
            RouterId writer, ClaimWriteRequest request, long timeoutMs);

    /** Notifies {@code claimant} that the claimant's write was queued; best effort. */
    void sendAccepted(RouterId claimant, ClaimWriteAccepted message);
}
