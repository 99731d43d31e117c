package org.masticweir.relay;

import com.google.common.collect.ImmutableList;
import io.undertow.server.ServerConnection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;

/**
 * Callers' keep-alive connections; owned by the traffic thread.
 *
 * <p>When a router shuts down, the balancer sends it no new connections, but callers go on using
 * their existing ones. A request that is refused on such a connection costs its caller a retry; a
 * caller that finds its connection closed goes to another router instead.
 */
final class KeepAliveConnections {
    private static final Logger LOG = LogManager.getLogger(KeepAliveConnections.class);

    private final Set<ServerConnection> idleConnections = new LinkedHashSet<>();
    private boolean isClosing;

    /** Records that an exchange of {@code connection} begins. */
    void exchangeStarted(ServerConnection connection) {
        idleConnections.remove(connection);
    }

    /** Records that an exchange of {@code connection} is complete and the connection is open. */
    void exchangeCompleted(ServerConnection connection) {
        idleConnections.add(connection);
    }

    /**
     * Notifies this that the server library has finished an exchange, so that its connection may be
     * closed now.
     */
    void exchangeReleased() {
        if (isClosing) {
            closeIdle();
        }
    }

    void connectionClosed(ServerConnection connection) {
        idleConnections.remove(connection);
    }

    /** Closes all idle connections now, and each other connection after its exchange. */
    void closeAll() {
        LOG.info("router: {} idle connections of callers are closed", idleConnections.size());
        isClosing = true;
        closeIdle();
    }

    private void closeIdle() {
        ImmutableList<ServerConnection> closed = ImmutableList.copyOf(idleConnections);
        idleConnections.clear();
        closed.forEach(IoUtils::safeClose);
    }
}
