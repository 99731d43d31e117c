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
 * <p>When a router shuts down, the balancer assigns no new connections to the router, but callers
 * continue to use their existing connections. A request that is refused on such a connection costs
 * the caller a retry. A caller whose idle connection is closed connects to another router instead.
 */
final class KeepAliveConnections {
    private static final Logger LOG = LogManager.getLogger(KeepAliveConnections.class);

    private final Set<ServerConnection> idleConnections = new LinkedHashSet<>();
    private boolean isClosing;

    /** Records that an exchange of {@code connection} begins. */
    void exchangeStarted(ServerConnection connection) {
        idleConnections.remove(connection);
    }

    /**
     * Records that an exchange of {@code connection} is complete and that the connection is still
     * open.
     */
    void exchangeCompleted(ServerConnection connection) {
        idleConnections.add(connection);
    }

    /**
     * Handles the end of an exchange in the server library; the connection may be closed from now
     * on.
     */
    void exchangeReleased() {
        if (isClosing) {
            closeIdle();
        }
    }

    void connectionClosed(ServerConnection connection) {
        idleConnections.remove(connection);
    }

    /** Closes all idle connections now, and every other connection after its current exchange. */
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
