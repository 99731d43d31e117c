package org.masticweir.relay;

import com.google.common.collect.ImmutableList;
import io.undertow.server.ServerConnection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;

/**
 * Callers' connections that are kept open for a next request; owned by the traffic thread.
 *
 * <p>Load that it answers: a router leaves, the balancer sends it no new connections any more, and
 * callers go on using those that they have. A request that is refused there costs its caller a
 * retry; one that finds its connection closed goes to another router.
 */
final class KeepAliveConnections {
    private static final Logger LOG = LogManager.getLogger(KeepAliveConnections.class);

    private final Set<ServerConnection> exchangeCompleted = new LinkedHashSet<>();
    private boolean isClosing;

    /** An exchange of {@code connection} begins. */
    void exchangeStarted(ServerConnection connection) {
        exchangeCompleted.remove(connection);
    }

    /** An exchange of {@code connection} is over, and its connection is open. */
    void exchangeCompleted(ServerConnection connection) {
        exchangeCompleted.add(connection);
    }

    /** The server library has ended an exchange: the connection may be closed now. */
    void exchangeReleased() {
        if (isClosing) {
            closeIdle();
        }
    }

    void connectionClosed(ServerConnection connection) {
        exchangeCompleted.remove(connection);
    }

    /** Closes what is idle, and from now on each connection after its exchange. */
    void closeAll() {
        LOG.info("router: {} idle connections of callers are closed", exchangeCompleted.size());
        isClosing = true;
        closeIdle();
    }

    private void closeIdle() {
        ImmutableList<ServerConnection> closed = ImmutableList.copyOf(exchangeCompleted);
        exchangeCompleted.clear();
        closed.forEach(IoUtils::safeClose);
    }
}
