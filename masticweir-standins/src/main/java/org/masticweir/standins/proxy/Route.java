package org.masticweir.standins.proxy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.http.IpAddress;

/** One listening address, its target, its mode and its connections; confined to the event loop. */
final class Route {
    private static final Logger LOG = LogManager.getLogger(Route.class);
    private static final int BACKLOG = 1024;
    private static final long ACCEPT_RETRY_MS = 100;

    private final EventLoop loop;
    private final RouteSpec spec;
    private final ByteBuffer scratch;
    private final ServerSocketChannel listener;
    private final SelectionKey key;
    private final Set<Connection> connections = new HashSet<>();
    private Mode mode = Mode.PASS;
    private Optional<ProxyMessages.Partition> partition = Optional.empty();
    private long delayMs;
    private long opened;
    private long bytesUp;
    private long bytesDown;

    private Route(EventLoop loop, RouteSpec spec, ByteBuffer scratch, ServerSocketChannel listener)
            throws IOException {
        this.loop = loop;
        this.spec = spec;
        this.scratch = scratch;
        this.listener = listener;
        key = loop.register(listener, this::accept);
        awaitClients();
    }

    /**
     * Listens on the route's address.
     *
     * @throws IllegalArgumentException if it cannot be listened on
     */
    static Route open(EventLoop loop, RouteSpec spec, ByteBuffer scratch) {
        try {
            ServerSocketChannel listener = ServerSocketChannel.open();
            try {
                listener.bind(spec.listen(), BACKLOG);
                return new Route(loop, spec, scratch, listener);
            } catch (IOException e) {
                listener.close();
                throw e;
            }
        } catch (IOException e) {
            String address = IpAddress.text(spec.listen());
            throw new IllegalArgumentException(
                    "cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Sets the mode and applies it to the connections that are open. */
    void change(ProxyMessages.Change change) {
        mode = change.mode();
        delayMs = mode == Mode.DELAY ? change.delayMs() : 0;
        LOG.info("proxy: route {} is {}, delay {} ms", spec.name(), mode, delayMs);
        for (Connection connection : ImmutableList.copyOf(connections)) {
            if (mode == Mode.CUT) {
                connection.reset();
            } else {
                connection.pump();
            }
        }
    }

    /**
     * Sets what is done with the connections of some processes; {@link #sort} names the present.
     */
    void partition(ProxyMessages.Partition now) {
        LOG.info("proxy: route {} is {} for {}", spec.name(), now.mode(), now.clients());
        partition = now.mode() == Mode.PASS ? Optional.empty() : Optional.of(now);
    }

    /** Applies the partition to the connections that come from {@code ports}. */
    void sort(ImmutableSet<Integer> ports) {
        ImmutableList.copyOf(connections).forEach(c -> c.sorted(ports));
    }

    /** Returns what is done with a connection by its place. */
    Mode modeFor(Connection.Place place) {
        return switch (place) {
            case UNKNOWN -> partition.isPresent() ? Mode.STALL : mode;
            case INSIDE -> mode;
            case CUT_OFF -> partition.map(ProxyMessages.Partition::mode).orElse(mode);
        };
    }

    void passed(Direction direction, long bytes) {
        if (direction == Direction.UP) {
            bytesUp += bytes;
        } else {
            bytesDown += bytes;
        }
    }

    void closed(Connection connection) {
        connections.remove(connection);
    }

    String name() {
        return spec.name();
    }

    InetSocketAddress target() {
        return spec.target();
    }

    Mode mode() {
        return mode;
    }

    long delayMs() {
        return delayMs;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.socket().getLocalSocketAddress();
    }

    ProxyMessages.RouteRecord toRecord() {
        return new ProxyMessages.RouteRecord(
                spec.name(),
                IpAddress.text(address()),
                IpAddress.text(spec.target()),
                mode,
                delayMs,
                opened,
                connections.size(),
                bytesUp,
                bytesDown);
    }

    private void accept() {
        try {
            SocketChannel client = listener.accept();
            if (client != null) {
                opened++;
                take(client);
            }
        } catch (IOException e) {
            pauseAccepting(e);
        }
    }

    private void take(SocketChannel client) throws IOException {
        if (mode == Mode.CUT) {
            Sockets.reset(client);
            return;
        }
        try {
            Connection connection = Connection.accept(loop, this, scratch, client);
            connections.add(connection);
            partition.ifPresent(p -> sortLater(connection, p));
            connection.pump();
        } catch (IOException e) {
            Sockets.reset(client);
            throw e;
        }
    }

    /** Looks the client up on another thread, as that reads files; until then nothing passes. */
    private void sortLater(Connection connection, ProxyMessages.Partition now) {
        CompletableFuture.supplyAsync(() -> ClientPorts.of(now.clients()))
                .thenAccept(
                        ports ->
                                loop.submit(
                                        () -> {
                                            connection.sorted(ports);
                                            return ports;
                                        }));
    }

    /**
     * Out of file descriptors, accept fails while the client still waits, so the selector would
     * report it again at once and the loop would spin. A short pause lets connections close.
     */
    private void pauseAccepting(IOException e) {
        LOG.warn("proxy: route {} cannot accept, {}", spec.name(), e.getMessage());
        key.interestOps(0);
        loop.at(loop.nowMs() + ACCEPT_RETRY_MS, this::awaitClients);
    }

    private void awaitClients() {
        key.interestOps(SelectionKey.OP_ACCEPT);
    }
}
