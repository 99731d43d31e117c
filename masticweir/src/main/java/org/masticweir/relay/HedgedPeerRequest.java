package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.time.Clock;

/**
 * Sends hedged requests to peers for a reply that any of them can give; owned by the control
 * thread.
 *
 * <p>A reply may be long and its link slow. If a late reply were dropped and requested again, its
 * sender would be busy with replies that nobody uses, and none would arrive in time. So a reply
 * counts whenever it arrives, a peer is not asked again before it has replied, and a second peer is
 * asked after a delay.
 */
final class HedgedPeerRequest {
    /** Time without a reply after which a second peer is asked, in ms. */
    static final long HEDGE_DELAY_MS = 800;

    /** Time after which a peer that has not replied may be asked again, in ms. */
    static final long TIMEOUT_MS = 5_000;

    /**
     * Limit on concurrently asked peers: a third one would slow down the replies of the other two.
     */
    private static final int MAX_PENDING_PEERS = 2;

    private final PeerSender peerSender;
    private final Executor control;
    private final Clock clock;
    private final Set<RouterId> pendingPeers = new HashSet<>();
    private long lastRequestMs;

    HedgedPeerRequest(PeerSender peerSender, Executor control, Clock clock) {
        this.peerSender = checkNotNull(peerSender, "peerSender");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Asks {@code peer}, unless it has not replied yet or another peer was asked a moment ago.
     *
     * @param callback receives the reply, or nothing if none will arrive
     */
    void request(RouterId peer, PeerMessage message, Consumer<Optional<PeerMessage>> callback) {
        long now = clock.nowMs();
        boolean isHedgeDelayed = !pendingPeers.isEmpty() && now - lastRequestMs < HEDGE_DELAY_MS;
        if (isHedgeDelayed || pendingPeers.size() == MAX_PENDING_PEERS || !pendingPeers.add(peer)) {
            return;
        }
        lastRequestMs = now;
        peerSender
                .ask(peer, message, TIMEOUT_MS)
                .whenComplete(
                        (reply, error) ->
                                ControlThread.execute(
                                        control,
                                        () -> {
                                            pendingPeers.remove(peer);
                                            callback.accept(Optional.ofNullable(reply));
                                        },
                                        "peers"));
    }
}
