package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.CompletableFuture;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerLinks;

/** Carries claims over the links between routers; thread-safe. */
final class PeerWriterLinks implements WriterLinks {
    private final PeerLinks links;

    PeerWriterLinks(PeerLinks links) {
        this.links = checkNotNull(links, "links");
    }

    @Override
    public CompletableFuture<ClaimAnswer> offer(RouterId writer, ClaimOffer offer, long timeoutMs) {
        return links.ask(writer, offer, timeoutMs).thenApply(ClaimAnswer.class::cast);
    }

    @Override
    public void taken(RouterId claimant, ClaimTaken message) {
        links.send(claimant, message);
    }
}
