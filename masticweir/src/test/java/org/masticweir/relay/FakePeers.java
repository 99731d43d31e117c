package org.masticweir.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;

/** Fake peers whose replies a test completes. */
final class FakePeers implements PeerSender {
    /** The recipients of requests, in order. */
    final List<RouterId> recipients = new ArrayList<>();

    /** The requests. */
    final List<PeerMessage> requests = new ArrayList<>();

    /** The replies, to be completed by the test. */
    final List<CompletableFuture<PeerMessage>> replies = new ArrayList<>();

    @Override
    public boolean send(RouterId to, PeerMessage message) {
        return false;
    }

    @Override
    public CompletableFuture<PeerMessage> ask(RouterId to, PeerMessage request, long timeoutMs) {
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        recipients.add(to);
        requests.add(request);
        replies.add(reply);
        return reply;
    }
}
