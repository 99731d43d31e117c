package org.masticweir.peer;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.RouterId;

/**
 * One link that a peer dialled: its messages go to the handlers, replies go back.
 *
 * <p>Owned by the links' thread, but for the replies, which may come from any thread.
 */
final class Incoming implements Link.Owner {
    private static final Logger LOG = LogManager.getLogger(Incoming.class);

    private final LinkContext context;
    private final Listening listening;
    private final Outbox outbox;
    private final AtomicBoolean wakeQueued = new AtomicBoolean();
    private Optional<Hello> hello = Optional.empty();
    private Link link;
    private String remote = "";
    private volatile boolean closed;

    Incoming(LinkContext context, Listening listening) {
        this.context = context;
        this.listening = listening;
        outbox = new Outbox(context.settings().maxQueuedBytes());
    }

    Outbox outbox() {
        return outbox;
    }

    /**
     * Starts the wait for the greeting.
     *
     * <p>A stray connection shows as one that never greets; without the limit each would hold its
     * socket for good.
     */
    void start(Link accepted) {
        link = accepted;
        remote = accepted.remote();
        long atMs = context.loop().nowMs() + context.settings().connectTimeoutMs();
        context.loop().at(atMs, this::giveUpUngreeted);
    }

    private void giveUpUngreeted() {
        if (hello.isEmpty()) {
            link.close("no greeting in time");
        }
    }

    @Override
    public void frame(Link from, byte[] body) {
        Frame f = context.frames().decode(body);
        if (hello.isEmpty()) {
            greeted(f);
            return;
        }
        RouterId peer = hello.get().router();
        listening.heard(peer);
        Reply reply = new FrameReply(peer, f.correlation());
        if (f.message().isEmpty()) {
            context.counting().unknown();
            reply.fail(unknownType(f.type()));
            return;
        }
        context.counting().in(peer, f.type(), body.length);
        if (f.message().get() instanceof Probe probe) {
            reply.send(probe);
            return;
        }
        listening.handlers().handle(peer, f.message().get(), reply);
    }

    private void greeted(Frame f) {
        if (f.message().isEmpty() || !(f.message().get() instanceof Hello h)) {
            throw FrameCodec.malformed("no greeting");
        }
        if (!listening.admit(h, this)) {
            link.close("a later incarnation of " + h.router() + " is here");
            return;
        }
        hello = Optional.of(h);
        outbox.offer(context.frames().encode(Frame.ONE_WAY, context.self()));
        link.flush();
        context.events().linkUp(h, LinkDirection.INCOMING);
        listening.heard(h.router());
    }

    void close(String reason) {
        link.close(reason);
    }

    @Override
    public void malformed(Link from) {
        context.counting().malformed();
    }

    @Override
    public void alive(Link from) {
        // Whoever dialled a link watches it; a dead one is replaced when its peer dials again.
    }

    @Override
    public void closed(Link gone, String reason) {
        closed = true;
        outbox.clear();
        if (hello.isEmpty() && !reason.equals(Link.CLOSED_BY_PEER)) {
            LOG.warn("peer: link from {} refused, {}", remote, reason);
        }
        if (hello.isPresent() && listening.left(hello.get().router(), this)) {
            context.events().linkDown(hello.get().router(), LinkDirection.INCOMING);
        }
    }

    private boolean queue(RouterId peer, long correlation, PeerMessage message) {
        byte[] frame = context.frames().encode(correlation, message);
        if (closed || !outbox.offer(frame)) {
            context.counting().refused();
            return false;
        }
        context.counting().out(peer, context.frames().typeOf(message), frame.length);
        if (wakeQueued.compareAndSet(false, true)) {
            context.loop().execute(this::flush);
        }
        return true;
    }

    private void flush() {
        wakeQueued.set(false);
        link.flush();
    }

    private static MasticweirException unknownType(int type) {
        return MasticweirException.of(
                ErrorCode.INTERNAL, Verdict.NOT_RUN, "message type " + type + " is not known");
    }

    /** The reply to one frame. */
    private final class FrameReply implements Reply {
        private final RouterId peer;
        private final long correlation;
        private final AtomicBoolean answered;

        FrameReply(RouterId peer, long correlation) {
            this.peer = peer;
            this.correlation = correlation;
            answered = new AtomicBoolean(correlation == Frame.ONE_WAY);
        }

        @Override
        public boolean send(PeerMessage message) {
            return answered.compareAndSet(false, true) && queue(peer, correlation, message);
        }

        @Override
        public boolean fail(MasticweirException error) {
            return send(Failure.of(error));
        }
    }
}
