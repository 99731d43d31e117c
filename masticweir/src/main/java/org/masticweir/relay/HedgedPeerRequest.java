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
 * Sends hedged requests to peers, each of which can send the reply; owned by the control thread.
 *
 * <p>A reply may be long and the link slow. If late replies were dropped and requested again, peers
 * would be busy with unused replies, and no reply would arrive in time. Late replies are therefore
 * accepted, a peer receives no second request before it has replied, and a second peer receives a
 * request after a delay.
 */
final class HedgedPeerRequest {
    /** Time without a reply after which a request is sent to a second peer, in ms. */
    static final long HEDGE_DELAY_MS = 800;

    /** Time without a reply after which a request may be sent to the same peer again, in ms. */
    static final long TIMEOUT_MS = 5_000;

    /** Limit on peers with a pending request: a third reply would slow down the other two. */
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
     * Sends {@code message} to {@code peer}. Does nothing if the peer has a pending request, or if
     * the hedge delay since the request to another peer has not passed.
     *
     * @param callback receives the reply, or an empty value if no reply will arrive
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
