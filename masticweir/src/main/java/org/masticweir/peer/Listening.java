package org.masticweir.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.id.RouterId;

/** The listening socket and the links that peers dialled; owned by the links' thread. */
final class Listening implements LinkLoop.Ready {
    private static final Logger LOG = LogManager.getLogger(Listening.class);

    private final LinkContext context;
    private final Handlers handlers;
    private final Consumer<RouterId> heard;
    private final ServerSocketChannel server;
    private final InetSocketAddress address;
    private final Map<RouterId, Admitted> admitted = new HashMap<>();

    private Listening(
            LinkContext context,
            Handlers handlers,
            Consumer<RouterId> heard,
            ServerSocketChannel server)
            throws IOException {
        this.context = context;
        this.handlers = handlers;
        this.heard = heard;
        this.server = server;
        address = (InetSocketAddress) server.getLocalAddress();
    }

    /**
     * Binds the listening socket; failure to do so is the caller's to hear.
     *
     * @param heard runs whenever a peer is heard on its link
     */
    static Listening open(LinkContext context, Handlers handlers, Consumer<RouterId> heard) {
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.configureBlocking(false);
            server.bind(context.settings().listen());
            Listening l = new Listening(context, handlers, heard, server);
            context.loop().register(server, SelectionKey.OP_ACCEPT, l);
            return l;
        } catch (IOException e) {
            throw new UncheckedIOException("peer: cannot listen", e);
        }
    }

    InetSocketAddress address() {
        return address;
    }

    void heard(RouterId peer) {
        heard.accept(peer);
    }

    Handlers handlers() {
        return handlers;
    }

    @Override
    public void ready(SelectionKey key) {
        try {
            SocketChannel ch = server.accept();
            while (ch != null) {
                Incoming in = new Incoming(context, this);
                in.start(Link.accepted(context, ch, in.outbox(), in));
                ch = server.accept();
            }
        } catch (IOException e) {
            LOG.warn("peer: accept failed, {}", e.getMessage());
        }
    }

    /**
     * Takes a peer's link in place of its earlier one, or refuses it.
     *
     * <p>A peer dials again when its link broke without our hearing of it (a host lost, a cut
     * network): the old link would stay half open, so the new one replaces it. A lower incarnation
     * is an instance that was paused while its successor took over the id; it is refused.
     */
    boolean admit(Hello hello, Incoming link) {
        Admitted before = admitted.get(hello.router());
        if (before != null && before.incarnation > hello.incarnation()) {
            return false;
        }
        admitted.put(hello.router(), new Admitted(hello.incarnation(), link));
        if (before != null) {
            before.link.close("replaced by a new link");
        }
        return true;
    }

    /** Takes a closed link off; returns whether it was its peer's current one. */
    boolean left(RouterId peer, Incoming link) {
        Admitted now = admitted.get(peer);
        return now != null && now.link == link && admitted.remove(peer, now);
    }

    private record Admitted(long incarnation, Incoming link) {}
}
