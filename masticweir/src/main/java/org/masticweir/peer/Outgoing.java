package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.RouterId;

/**
 * The link that this router dials to one peer, with its queue, its asks and its backoff.
 *
 * <p>{@link #send}, {@link #ask} and {@link #learn} may be called from any thread, all else runs on
 * the links' thread. The phase changes under this object's lock together with queue and asks, so
 * that no ask is added to a link that was just given up.
 */
final class Outgoing implements Link.Owner {
    private static final Logger LOG = LogManager.getLogger(Outgoing.class);

    /** Shortest time between two tries to reach a peer that is heard, in ms. */
    private static final long REDIAL_MS = 50;

    private final RouterId peer;
    private final LinkContext context;
    private final Outbox outbox;
    private final Asks asks = new Asks();
    private final Backoff backoff;
    private final AtomicLong correlations = new AtomicLong();
    private final AtomicBoolean wakeQueued = new AtomicBoolean();
    private volatile InetSocketAddress address;
    private final SilenceWatch silence = new SilenceWatch();
    private volatile boolean replyDue;
    private Phase phase = Phase.IDLE;
    private long dialledMs;
    private Link link;

    Outgoing(RouterId peer, InetSocketAddress address, LinkContext context) {
        this.peer = checkNotNull(peer, "peer");
        this.address = checkNotNull(address, "address");
        this.context = context;
        LinkSettings s = context.settings();
        outbox = new Outbox(s.maxQueuedBytes());
        long seed = s.seed() ^ peer.hashCode();
        backoff = new Backoff(s.backoffMinMs(), s.backoffMaxMs(), seed);
    }

    void learn(InetSocketAddress to) {
        address = checkNotNull(to, "to");
    }

    boolean send(PeerMessage message) {
        byte[] frame = context.frames().encode(Frame.ONE_WAY, message);
        return counted(message, frame, offer(frame));
    }

    CompletableFuture<PeerMessage> ask(PeerMessage message, long timeoutMs) {
        long c = correlations.incrementAndGet();
        byte[] frame = context.frames().encode(c, message);
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        boolean queued;
        synchronized (this) {
            asks.add(c, answer);
            queued = offer(frame);
            replyDue = replyDue || queued;
        }
        if (counted(message, frame, queued)) {
            context.loop().executeAfter(() -> asks.fail(c, timeout()), timeoutMs);
        } else {
            asks.fail(c, notTaken());
        }
        return answer;
    }

    private synchronized boolean offer(byte[] frame) {
        return phase.takesMessages() && outbox.offer(frame);
    }

    private boolean counted(PeerMessage message, byte[] frame, boolean queued) {
        if (queued) {
            context.counting().out(peer, context.frames().typeOf(message), frame.length);
            wake();
        } else {
            context.counting().refused();
        }
        return queued;
    }

    /** Has the links' thread write soon; messages queued until then share the write. */
    private void wake() {
        if (wakeQueued.compareAndSet(false, true)) {
            context.loop()
                    .execute(
                            () -> {
                                wakeQueued.set(false);
                                flush();
                            });
        }
    }

    private void flush() {
        if (phase == Phase.IDLE) {
            dial();
        } else if (phase == Phase.UP) {
            link.flush();
        }
    }

    private void dial() {
        enter(Phase.DIALLING);
        dialledMs = context.loop().nowMs();
        Outbox greeting = new Outbox(FrameCodec.MAX_FRAME_BYTES);
        greeting.offer(context.frames().encode(Frame.ONE_WAY, context.self()));
        try {
            Link dialled = Link.dial(context, address, greeting, this);
            link = dialled;
            long atMs = context.loop().nowMs() + context.settings().connectTimeoutMs();
            context.loop().at(atMs, () -> giveUpDialling(dialled));
            dialled.flush();
        } catch (IOException | RuntimeException e) {
            lost(String.valueOf(e.getMessage()));
        }
    }

    private void giveUpDialling(Link dialled) {
        if (link == dialled && phase == Phase.DIALLING) {
            dialled.close("no greeting in time");
        }
    }

    @Override
    public void frame(Link from, byte[] body) {
        Frame f = context.frames().decode(body);
        if (phase == Phase.DIALLING) {
            greeted(f);
            return;
        }
        context.counting().in(peer, f.type(), body.length);
        if (f.message().isEmpty()) {
            context.counting().unknown();
            asks.fail(f.correlation(), unknownReply(f.type()));
        } else {
            asks.complete(f.correlation(), f.message().get());
        }
    }

    /**
     * Checks who answered before any message is written.
     *
     * <p>Addresses are given out again when instances are replaced; a stale entry shows as a
     * greeting from another router. The link then closes, and nothing meant for one peer reaches
     * another.
     */
    private void greeted(Frame f) {
        Optional<PeerMessage> m = f.message();
        if (m.isEmpty() || !(m.get() instanceof Hello hello)) {
            throw FrameCodec.malformed("no greeting");
        }
        if (!hello.router().equals(peer)) {
            link.close("address belongs to " + hello.router());
            return;
        }
        enter(Phase.UP);
        backoff.reset();
        LOG.info("peer: link to {} up, incarnation {}", peer, hello.incarnation());
        context.events().linkUp(hello, LinkDirection.OUTGOING);
        if (phase == Phase.UP) {
            link.use(outbox);
            checkSilenceLater(link);
        }
    }

    private void checkSilenceLater(Link up) {
        long atMs = context.loop().nowMs() + context.settings().silenceCheckMs();
        context.loop().at(atMs, () -> checkSilence(up));
    }

    private void checkSilence(Link up) {
        if (link != up || phase != Phase.UP) {
            return;
        }
        switch (silence.check(replyDue || !asks.isEmpty() || !outbox.isEmpty())) {
            case CLOSE -> up.close("silent for " + context.settings().silenceMs() + " ms");
            case PROBE -> probe();
            default -> {}
        }
        checkSilenceLater(up);
    }

    /** Sends a probe; its reply belongs to no ask and counts as any byte does. */
    private void probe() {
        Probe probe = new Probe();
        byte[] frame = context.frames().encode(correlations.incrementAndGet(), probe);
        counted(probe, frame, offer(frame));
    }

    @Override
    public void alive(Link from) {
        replyDue = false;
        silence.heard();
    }

    @Override
    public void malformed(Link from) {
        context.counting().malformed();
    }

    @Override
    public void closed(Link gone, String reason) {
        if (gone == link) {
            lost(reason);
        }
    }

    /**
     * Fails all that waited on the link and dials again after the backoff.
     *
     * <p>A peer's death shows as a reset or an end of stream; failing the asks at once, rather than
     * at their time-out, lets their askers turn to another peer.
     */
    private void lost(String reason) {
        boolean wasUp = phase == Phase.UP;
        if (phase == Phase.CLOSED) {
            return;
        }
        enter(Phase.BACKOFF);
        LOG.info("peer: link to {} lost, {}", peer, reason);
        asks.failAll(linkLost(wasUp, reason));
        long atMs = context.loop().nowMs() + backoff.nextMs();
        context.loop().at(atMs, this::dialAgain);
        if (wasUp) {
            context.events().linkDown(peer, LinkDirection.OUTGOING);
        }
    }

    /**
     * Dials at once, as the peer lives.
     *
     * <p>Failure guarded against: a peer that stood still is heard again and counts as serving,
     * while the backoff of the link to it runs on for seconds and everything asked of it fails.
     */
    void peerHeard() {
        if (phase == Phase.BACKOFF && context.loop().nowMs() - dialledMs >= REDIAL_MS) {
            dial();
        }
    }

    private void dialAgain() {
        if (phase == Phase.BACKOFF) {
            dial();
        }
    }

    /** Gives the peer up: the link closes, what waits fails; no loss, so listeners don't hear. */
    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        boolean wasUp = phase == Phase.UP;
        enter(Phase.CLOSED);
        if (link != null) {
            link.close("closed here");
        }
        asks.failAll(linkLost(wasUp, "closed here"));
    }

    private synchronized void enter(Phase next) {
        phase = next;
        if (!next.takesMessages()) {
            outbox.clear();
        }
    }

    private MasticweirException linkLost(boolean wasUp, String reason) {
        Verdict v = wasUp ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return MasticweirException.of(
                ErrorCode.INTERNAL, v, "link to " + peer + " lost: " + reason);
    }

    private MasticweirException notTaken() {
        return MasticweirException.notRun(
                ErrorCode.OVERLOADED, "peer " + peer + " takes no message now");
    }

    private MasticweirException timeout() {
        return MasticweirException.of(
                ErrorCode.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, "no reply from " + peer);
    }

    private MasticweirException unknownReply(int type) {
        return MasticweirException.of(
                ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "reply of unknown type " + type);
    }

    /** What the link to the peer is doing. */
    private enum Phase {
        IDLE(true),
        DIALLING(true),
        UP(true),
        BACKOFF(false),
        CLOSED(false);

        private final boolean takesMessages;

        Phase(boolean takesMessages) {
            this.takesMessages = takesMessages;
        }

        boolean takesMessages() {
            return takesMessages;
        }
    }
}
