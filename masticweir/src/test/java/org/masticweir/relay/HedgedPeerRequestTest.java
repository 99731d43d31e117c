package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.relay.RelayMessages.CatalogReply;
import org.masticweir.relay.RelayMessages.CatalogRequest;
import org.masticweir.time.ManualScheduler;

/**
 * Guards against two faults: a late reply is dropped and requested again, or a silent peer delays
 * all requests.
 */
class HedgedPeerRequestTest {
    private static final CatalogRequest REQUEST = new CatalogRequest(1, true);
    private static final PeerMessage REPLY = CatalogReply.fullText("2");
    private static final RouterId FIRST = RouterId.of("first");
    private static final RouterId SECOND = RouterId.of("second");
    private static final RouterId THIRD = RouterId.of("third");

    private final ManualScheduler scheduler = new ManualScheduler();
    private final FakePeers peers = new FakePeers();
    private final HedgedPeerRequest hedgedRequest =
            new HedgedPeerRequest(peers, scheduler, scheduler.clock());
    private final List<Optional<PeerMessage>> replies = new ArrayList<>();

    private void request(RouterId peer) {
        hedgedRequest.request(peer, REQUEST, replies::add);
    }

    private void advanceMs(long ms) {
        scheduler.runTo(scheduler.clock().nowMs() + ms);
    }

    private void reply(int index) {
        peers.replies.get(index).complete(REPLY);
        advanceMs(1);
    }

    @Test
    void acceptsALateReply() {
        request(FIRST);
        advanceMs(4 * HedgedPeerRequest.HEDGE_DELAY_MS);
        reply(0);
        assertEquals(List.of(Optional.of(REPLY)), replies);
    }

    @Test
    void doesNotAskAPeerAgainBeforeItsReply() {
        request(FIRST);
        advanceMs(2 * HedgedPeerRequest.HEDGE_DELAY_MS);
        request(FIRST);
        assertEquals(List.of(FIRST), peers.recipients);
        reply(0);
        request(FIRST);
        assertEquals(List.of(FIRST, FIRST), peers.recipients);
    }

    @Test
    void asksOneOtherPeerAfterTheHedgeDelay() {
        request(FIRST);
        request(SECOND);
        assertEquals(List.of(FIRST), peers.recipients);
        advanceMs(HedgedPeerRequest.HEDGE_DELAY_MS);
        request(SECOND);
        advanceMs(HedgedPeerRequest.HEDGE_DELAY_MS);
        request(THIRD);
        assertEquals(List.of(FIRST, SECOND), peers.recipients);
    }

    @Test
    void asksAnotherPeerAtOnceWhenALinkIsLost() {
        request(FIRST);
        peers.replies
                .get(0)
                .completeExceptionally(
                        MasticweirException.notRun(ErrorCode.DEADLINE_EXCEEDED, "link lost"));
        advanceMs(1);
        request(SECOND);
        assertEquals(List.of(FIRST, SECOND), peers.recipients);
        assertEquals(List.of(Optional.empty()), replies);
    }
}
