package org.masticweir.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;

/** Peers that reply when a test says so. */
final class FakePeers implements PeerSender {
    /** The peers that were asked, in order. */
    final List<RouterId> recipients = new ArrayList<>();

    /** What they were asked. */
    final List<PeerMessage> requests = new ArrayList<>();

    /** Their replies. */
    final List<CompletableFuture<PeerMessage>> replies = new ArrayList<>();

    @Override
    public boolean send(RouterId to, PeerMessage message) {
        return false;
    }

    @Override
    public CompletableFuture<PeerMessage> ask(RouterId to, PeerMessage question, long timeoutMs) {
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        recipients.add(to);
        requests.add(question);
        replies.add(reply);
        return reply;
    }
}
