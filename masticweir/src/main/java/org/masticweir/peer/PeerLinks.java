package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import javax.net.ssl.SSLContext;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.RouterId;
import org.masticweir.time.Clock;

/**
 * The framed links of one router to its peers.
 *
 * <p>Open it, register handlers with {@link #on}, then {@link #start}. A link is dialled when the
 * first message goes to a peer, and dialled again after a loss until the peer is {@linkplain
 * #forget forgotten}. Handlers, listeners and the completion of asks run on the links' one thread:
 * they must not block. All methods may be called from any thread.
 */
public final class PeerLinks implements PeerSender, AutoCloseable {
    private static final long JOIN_MS = 2000;

    private final ConcurrentHashMap<RouterId, Outgoing> outgoing = new ConcurrentHashMap<>();
    private final CopyOnWriteArrayList<LinkListener> listeners = new CopyOnWriteArrayList<>();
    private final Handlers handlers = new Handlers();
    private final Counting counting = new Counting();
    private final LinkLoop loop;
    private final Optional<LinkTls> tls;
    private final LinkContext context;
    private final Listening listening;
    private final Thread thread;
    private volatile boolean closed;

    private PeerLinks(
            LinkSettings settings,
            Hello self,
            MessageRegistry registry,
            Clock clock,
            Optional<SSLContext> keys) {
        loop = new LinkLoop(clock);
        tls = keys.map(k -> new LinkTls(k, loop, "peer-handshakes-" + self.router()));
        FrameCodec frames = new FrameCodec(registry);
        context = new LinkContext(loop, settings, self, frames, counting, tls, new Listeners());
        listening = Listening.open(context, handlers, this::heard);
        thread = new Thread(loop, "peer-links-" + self.router());
        thread.setDaemon(true);
    }

    /** Binds the listening address; nothing is read or written before {@link #start}. */
    public static PeerLinks open(
            LinkSettings settings, Hello self, MessageRegistry registry, Clock clock) {
        return open(settings, self, registry, clock, Optional.empty());
    }

    /**
     * Binds the listening address for links under TLS if {@code keys} are there.
     *
     * @param keys a context whose key is shown to peers and whose trust theirs must pass
     */
    public static PeerLinks open(
            LinkSettings settings,
            Hello self,
            MessageRegistry registry,
            Clock clock,
            Optional<SSLContext> keys) {
        checkNotNull(settings, "settings");
        checkNotNull(self, "self");
        checkNotNull(registry, "registry");
        checkNotNull(clock, "clock");
        return new PeerLinks(settings, self, registry, clock, checkNotNull(keys, "keys"));
    }

    public void start() {
        thread.start();
    }

    /** Returns the address that peers connect to, with the port that was taken. */
    public InetSocketAddress address() {
        return listening.address();
    }

    /** Hands messages of class {@code type} to {@code handler}; one handler a class. */
    public <T extends PeerMessage> void on(Class<T> type, Handler<T> handler) {
        handlers.put(type, handler);
    }

    public void listen(LinkListener listener) {
        listeners.add(checkNotNull(listener, "listener"));
    }

    /** Notes where {@code peer} listens; a new address counts from the next dial on. */
    public void learn(RouterId peer, InetSocketAddress address) {
        checkNotNull(address, "address");
        outgoing.compute(
                checkNotNull(peer, "peer"),
                (id, known) -> {
                    Outgoing o = known == null ? new Outgoing(id, address, context) : known;
                    o.learn(address);
                    return o;
                });
    }

    /** Closes the link to {@code peer}, fails its asks and drops its address and counters. */
    public void forget(RouterId peer) {
        Optional<Outgoing> gone = Optional.ofNullable(outgoing.remove(peer));
        gone.ifPresent(o -> loop.execute(o::close));
        counting.forget(peer);
    }

    @Override
    public boolean send(RouterId to, PeerMessage message) {
        Outgoing o = outgoing.get(checkNotNull(to, "to"));
        if (o == null || closed) {
            counting.refused();
            return false;
        }
        return o.send(message);
    }

    @Override
    public CompletableFuture<PeerMessage> ask(RouterId to, PeerMessage message, long timeoutMs) {
        checkArgument(timeoutMs > 0, "timeout %s ms", timeoutMs);
        Outgoing o = outgoing.get(checkNotNull(to, "to"));
        if (o == null || closed) {
            counting.refused();
            return CompletableFuture.failedFuture(
                    MasticweirException.notRun(ErrorCode.NOT_FOUND, "peer " + to + " not known"));
        }
        return o.ask(message, timeoutMs);
    }

    private void heard(RouterId peer) {
        Outgoing o = outgoing.get(peer);
        if (o != null) {
            o.peerHeard();
        }
    }

    /** Runs {@code task} on the links' thread once {@code delayMs} have passed. */
    public void executeAfter(Runnable task, long delayMs) {
        loop.executeAfter(task, delayMs);
    }

    public LinkCounters counters() {
        return counting.snapshot();
    }

    /** Closes all links, fails what waits, and ends the thread. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        boolean neverStarted = thread.getState() == Thread.State.NEW;
        loop.execute(() -> outgoing.values().forEach(Outgoing::close));
        loop.stop();
        if (neverStarted) {
            loop.run();
        } else if (Thread.currentThread() != thread) {
            awaitThread();
        }
        tls.ifPresent(LinkTls::close);
    }

    private void awaitThread() {
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Passes link events on to all listeners. */
    private final class Listeners implements LinkListener {
        @Override
        public void linkUp(Hello peer, LinkDirection direction) {
            listeners.forEach(l -> l.linkUp(peer, direction));
        }

        @Override
        public void linkDown(RouterId peer, LinkDirection direction) {
            listeners.forEach(l -> l.linkDown(peer, direction));
        }
    }
}
