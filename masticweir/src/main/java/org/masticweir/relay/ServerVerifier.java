package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.forward.ServerHealth;
import org.masticweir.http.Dialer;
import org.masticweir.path.ConnectAttempt;
import org.masticweir.path.ServerDialer;
import org.masticweir.time.Clock;

/**
 * Checks whether the loss of a request is the fault of its server or of the path to it, before
 * other routers are told of a failure; owned by the traffic thread.
 *
 * <p>A router that loses its paths loses its requests at all servers at once. If it reported each
 * loss as a failure, the other routers would avoid servers that they reach. A server that loses
 * requests while it accepts this router's connections is reported: it hangs, or ends connections.
 */
final class ServerVerifier {
    private static final Logger LOG = LogManager.getLogger(ServerVerifier.class);

    /** Timeout of a check, in ms. */
    private static final long TIMEOUT_MS = 300;

    private final ServerDialer dialer;
    private final ServerHealth health;
    private final Clock clock;
    private final Runnable onHealthChanged;
    private final Set<ServerIncarnation> pending = new HashSet<>();

    ServerVerifier(
            ServerDialer dialer, ServerHealth health, Clock clock, Runnable onHealthChanged) {
        this.dialer = checkNotNull(dialer, "dialer");
        this.health = checkNotNull(health, "health");
        this.clock = checkNotNull(clock, "clock");
        this.onHealthChanged = checkNotNull(onHealthChanged, "onHealthChanged");
    }

    /**
     * Checks {@code server} after the loss of a request.
     *
     * @param isConnectionBroken whether the connection broke, and the server was not just silent
     */
    void verify(BackendServer server, boolean isConnectionBroken) {
        if (pending.add(server.incarnation())) {
            ConnectAttempt attempt = dialer.newAttempt(server, TIMEOUT_MS);
            Result result = new Result(server, attempt);
            if (isConnectionBroken) {
                attempt.connect(result);
            } else {
                // A silent server may not even refuse the connection.
                attempt.connectEagerly(result);
            }
        }
    }

    private void finish(BackendServer server, String result) {
        pending.remove(server.incarnation());
        LOG.info("health: {} {} after the loss of a request", server.incarnation(), result);
        onHealthChanged.run();
    }

    /** Handles the result of one check; the connection is not used. */
    private final class Result implements ClientCallback<ClientConnection> {
        private final BackendServer server;
        private final ConnectAttempt attempt;

        Result(BackendServer server, ConnectAttempt attempt) {
            this.server = server;
            this.attempt = attempt;
        }

        @Override
        public void completed(ClientConnection connection) {
            Dialer.discard(connection);
            if (attempt.carrier().isPresent()) {
                health.recordReachable(server, clock.nowMs());
                finish(server, "is reached by another router only");
            } else {
                // The path works, so the server is at fault, and other routers should know.
                health.recordFailure(server, clock.nowMs());
                finish(server, "accepts connections");
            }
        }

        @Override
        public void failed(IOException e) {
            health.recordConnectFailure(server, attempt.failure(), clock.nowMs());
            finish(server, "accepts no connection, " + attempt.failure() + ",");
        }
    }
}
