package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.CompletableFuture;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerLinks;

/** Sends claim messages over the links between routers; thread-safe. */
final class PeerWriterLinks implements WriterLinks {
    private final PeerLinks links;

    PeerWriterLinks(PeerLinks links) {
        this.links = checkNotNull(links, "links");
    }

    @Override
    public CompletableFuture<ClaimWriteResponse> sendWrite(
            RouterId writer, ClaimWriteRequest request, long timeoutMs) {
        return links.ask(writer, request, timeoutMs).thenApply(ClaimWriteResponse.class::cast);
    }

    @Override
    public void sendAccepted(RouterId claimant, ClaimWriteAccepted message) {
        links.send(claimant, message);
    }
}
