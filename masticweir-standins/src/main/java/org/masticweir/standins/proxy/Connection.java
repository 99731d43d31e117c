package org.masticweir.standins.proxy;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One client's connection and the one to the target that belongs to it.
 *
 * <p>The target is called only once bytes may go up, so that a stalled target sees nothing at all.
 * Confined to the event loop.
 */
final class Connection {
    private static final Logger LOG = LogManager.getLogger(Connection.class);

    private final EventLoop loop;
    private final Route route;
    private final ByteBuffer scratch;
    private final SocketChannel client;
    private final SocketChannel target;
    private final SelectionKey clientKey;
    private final SelectionKey targetKey;
    private final Pipe up = new Pipe();
    private final Pipe down = new Pipe();
    private final int clientPort;
    private Place place = Place.UNKNOWN;

    private Connection(EventLoop loop, Route route, ByteBuffer scratch, SocketChannel client)
            throws IOException {
        this.loop = loop;
        this.route = route;
        this.scratch = scratch;
        this.client = client;
        clientPort = client.socket().getPort();
        clientKey = loop.register(client, this::pump);
        client.setOption(StandardSocketOptions.TCP_NODELAY, true);
        target = SocketChannel.open();
        target.setOption(StandardSocketOptions.TCP_NODELAY, true);
        targetKey = loop.register(target, this::pump);
    }

    /** Takes on an accepted client of {@code route}; {@code scratch} is shared by the loop. */
    static Connection accept(EventLoop loop, Route route, ByteBuffer scratch, SocketChannel client)
            throws IOException {
        return new Connection(loop, route, scratch, client);
    }

    /** Where a connection's client is while its route is partitioned. */
    enum Place {
        UNKNOWN,
        INSIDE,
        CUT_OFF
    }

    /** Takes note that the clients that are cut off now have {@code ports}. */
    void sorted(ImmutableSet<Integer> ports) {
        place = ports.contains(clientPort) ? Place.CUT_OFF : Place.INSIDE;
        if (mode() == Mode.CUT) {
            reset();
        } else {
            pump();
        }
    }

    private Mode mode() {
        return route.modeFor(place);
    }

    /** Moves what the route's mode lets through; called on every event and change of mode. */
    void pump() {
        if (!client.isOpen()) {
            return;
        }
        try {
            if (connect()) {
                move(Direction.UP, up, clientKey, client, target);
                move(Direction.DOWN, down, targetKey, target, client);
            }
            if (up.isFinished() && down.isFinished()) {
                close();
            } else {
                listen();
            }
        } catch (IOException e) {
            LOG.debug("proxy: route {} connection broke, {}", route.name(), e.getMessage());
            reset();
        }
    }

    /** Closes both ends at once; the peers see a reset. */
    void reset() {
        Sockets.reset(client);
        Sockets.reset(target);
        route.closed(this);
    }

    private void close() throws IOException {
        client.close();
        target.close();
        route.closed(this);
    }

    /** Returns whether the target is connected, having tried to if the mode allows. */
    private boolean connect() throws IOException {
        if (target.isConnected()) {
            return true;
        }
        if (mode().holds(Direction.UP)) {
            return false;
        }
        return target.isConnectionPending()
                ? target.finishConnect()
                : target.connect(route.target());
    }

    private void move(
            Direction direction,
            Pipe pipe,
            SelectionKey sourceKey,
            SocketChannel source,
            SocketChannel sink)
            throws IOException {
        if (mode().holds(direction)) {
            return;
        }
        if (pipe.wantsBytes() && sourceKey.isReadable()) {
            long dueMs = loop.nowMs() + route.delayMs();
            boolean came = pipe.read(source, scratch, dueMs);
            // A timer finds the readiness of the last select, for bytes long since read. Were a
            // timer set all the same, each one would set two, until the heap is full.
            if (came && route.delayMs() > 0) {
                loop.at(dueMs, this::pump);
            }
        }
        route.passed(direction, pipe.write(sink, passableUntilMs()));
    }

    /** Returns the due time up to which bytes pass; a route without delay lets all of them. */
    private long passableUntilMs() {
        return route.delayMs() == 0 ? Long.MAX_VALUE : loop.nowMs();
    }

    private void listen() {
        boolean connected = target.isConnected();
        int clientOps = connected ? ops(Direction.UP, up, Direction.DOWN, down) : 0;
        int targetOps = connected ? ops(Direction.DOWN, down, Direction.UP, up) : 0;
        if (target.isConnectionPending() && !mode().holds(Direction.UP)) {
            targetOps = SelectionKey.OP_CONNECT;
        }
        clientKey.interestOps(clientOps);
        targetKey.interestOps(targetOps);
    }

    private int ops(Direction out, Pipe from, Direction in, Pipe to) {
        boolean reads = !mode().holds(out) && from.wantsBytes();
        boolean writes = !mode().holds(in) && to.hasDue(passableUntilMs());
        return (reads ? SelectionKey.OP_READ : 0) | (writes ? SelectionKey.OP_WRITE : 0);
    }
}
