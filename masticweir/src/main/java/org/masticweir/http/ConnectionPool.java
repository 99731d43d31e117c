package org.masticweir.http;

import io.undertow.client.ClientConnection;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** Counts open connections per address and keeps the idle ones for a while; thread-safe. */
final class ConnectionPool implements AutoCloseable {
    /** An unused connection and the timer that closes it. */
    private record Idle(ClientConnection connection, XnioExecutor.Key expiry) {}

    private final int maxPerAddress;
    private final long idleMs;
    private final Map<InetSocketAddress, Integer> open = new HashMap<>();
    private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();
    private boolean closed;

    ConnectionPool(int maxPerAddress, long idleMs) {
        this.maxPerAddress = maxPerAddress;
        this.idleMs = idleMs;
    }

    /** Returns an idle connection, the latest used first as its peer is least likely to be gone. */
    synchronized Optional<ClientConnection> take(InetSocketAddress address) {
        Deque<Idle> queue = idle.getOrDefault(address, new ArrayDeque<>());
        while (!queue.isEmpty()) {
            Idle next = queue.removeLast();
            next.expiry().remove();
            if (next.connection().isOpen()) {
                return Optional.of(next.connection());
            }
        }
        return Optional.empty();
    }

    /** Counts one more connection to {@code address}, unless it has as many as it may. */
    synchronized boolean reserve(InetSocketAddress address) {
        int count = open.getOrDefault(address, 0);
        if (closed || count >= maxPerAddress) {
            return false;
        }
        open.put(address, count + 1);
        return true;
    }

    /** Counts one connection to {@code address} less; forgets an address without any. */
    synchronized void free(InetSocketAddress address) {
        int count = open.getOrDefault(address, 0) - 1;
        if (count > 0) {
            open.put(address, count);
            return;
        }
        open.remove(address);
        idle.remove(address);
    }

    /** Keeps {@code connection} for a later call; runs on its I/O thread. */
    synchronized void keep(InetSocketAddress address, ClientConnection connection) {
        if (closed || !connection.isOpen()) {
            Dialer.discard(connection);
            return;
        }
        XnioExecutor.Key expiry =
                connection
                        .getIoThread()
                        .executeAfter(
                                () -> expire(address, connection), idleMs, TimeUnit.MILLISECONDS);
        idle.computeIfAbsent(address, a -> new ArrayDeque<>())
                .addLast(new Idle(connection, expiry));
    }

    private void expire(InetSocketAddress address, ClientConnection connection) {
        boolean unused;
        synchronized (this) {
            Deque<Idle> queue = idle.getOrDefault(address, new ArrayDeque<>());
            unused = queue.removeIf(i -> i.connection() == connection);
        }
        if (unused) {
            Dialer.discard(connection);
        }
    }

    @Override
    public void close() {
        List<Idle> all = new ArrayList<>();
        synchronized (this) {
            closed = true;
            idle.values().forEach(all::addAll);
            idle.clear();
        }
        all.forEach(i -> i.expiry().remove());
        all.forEach(i -> Dialer.discard(i.connection()));
    }
}
