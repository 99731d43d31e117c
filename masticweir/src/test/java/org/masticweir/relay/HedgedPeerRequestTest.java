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
 * Guards against dropping a late reply and requesting it again, and against a silent peer that
 * delays all requests.
 */
class HedgedPeerRequestTest {
    private static final CatalogRequest QUESTION = new CatalogRequest(1, true);
    private static final PeerMessage REPLY = CatalogReply.fullText("2");
    private static final RouterId FIRST = RouterId.of("first");
    private static final RouterId SECOND = RouterId.of("second");
    private static final RouterId THIRD = RouterId.of("third");

    private final ManualScheduler scheduler = new ManualScheduler();
    private final FakePeers peers = new FakePeers();
    private final HedgedPeerRequest asks =
            new HedgedPeerRequest(peers, scheduler, scheduler.clock());
    private final List<Optional<PeerMessage>> replies = new ArrayList<>();

    private void ask(RouterId peer) {
        asks.ask(peer, QUESTION, replies::add);
    }

    private void afterMs(long ms) {
        scheduler.runTo(scheduler.clock().nowMs() + ms);
    }

    private void reply(int ask) {
        peers.replies.get(ask).complete(REPLY);
        afterMs(1);
    }

    @Test
    void acceptsALateReply() {
        ask(FIRST);
        afterMs(4 * HedgedPeerRequest.HEDGE_DELAY_MS);
        reply(0);
        assertEquals(List.of(Optional.of(REPLY)), replies);
    }

    @Test
    void doesNotAskAPeerAgainBeforeItsReply() {
        ask(FIRST);
        afterMs(2 * HedgedPeerRequest.HEDGE_DELAY_MS);
        ask(FIRST);
        assertEquals(List.of(FIRST), peers.recipients);
        reply(0);
        ask(FIRST);
        assertEquals(List.of(FIRST, FIRST), peers.recipients);
    }

    @Test
    void asksOneOtherPeerAfterTheHedgeDelay() {
        ask(FIRST);
        ask(SECOND);
        assertEquals(List.of(FIRST), peers.recipients);
        afterMs(HedgedPeerRequest.HEDGE_DELAY_MS);
        ask(SECOND);
        afterMs(HedgedPeerRequest.HEDGE_DELAY_MS);
        ask(THIRD);
        assertEquals(List.of(FIRST, SECOND), peers.recipients);
    }

    @Test
    void asksAnotherPeerAtOnceWhenALinkIsLost() {
        ask(FIRST);
        peers.replies
                .get(0)
                .completeExceptionally(
                        MasticweirException.notRun(ErrorCode.DEADLINE_EXCEEDED, "link lost"));
        afterMs(1);
        ask(SECOND);
        assertEquals(List.of(FIRST, SECOND), peers.recipients);
        assertEquals(List.of(Optional.empty()), replies);
    }
}
