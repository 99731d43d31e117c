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
 * Asks peers for one thing that any of them may give; owned by the control thread.
 *
 * <p>Failure guarded against: a reply is long and its link thin. If it were dropped when it comes
 * late and asked for anew, its sender would be kept busy with replies that nobody takes, and none
 * would ever come in time. So a reply counts whenever it comes, a peer is not asked again before it
 * has replied, and another one is asked as well after a while.
 */
final class HedgedPeerRequest {
    /** Time without a reply after which another peer is asked as well, in ms. */
    static final long HEDGE_DELAY_MS = 800;

    /** Time after which a peer that is silent may be asked again, in ms. */
    static final long TIMEOUT_MS = 5_000;

    /** Peers asked at a time: a third would slow down the replies of the two. */
    private static final int MAX_ASKED_PEERS = 2;

    private final PeerSender links;
    private final Executor control;
    private final Clock clock;
    private final Set<RouterId> askedPeers = new HashSet<>();
    private long lastAskMs;

    HedgedPeerRequest(PeerSender links, Executor control, Clock clock) {
        this.links = checkNotNull(links, "links");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Asks {@code peer}, unless it has yet to reply or another was asked a moment ago.
     *
     * @param callback takes the reply, or nothing if none will come
     */
    void ask(RouterId peer, PeerMessage question, Consumer<Optional<PeerMessage>> callback) {
        long now = clock.nowMs();
        boolean isHedgeDelayed = !askedPeers.isEmpty() && now - lastAskMs < HEDGE_DELAY_MS;
        if (isHedgeDelayed || askedPeers.size() == MAX_ASKED_PEERS || !askedPeers.add(peer)) {
            return;
        }
        lastAskMs = now;
        links.ask(peer, question, TIMEOUT_MS)
                .whenComplete(
                        (reply, error) ->
                                ControlThread.execute(
                                        control,
                                        () -> {
                                            askedPeers.remove(peer);
                                            callback.accept(Optional.ofNullable(reply));
                                        },
                                        "peers"));
    }
}
