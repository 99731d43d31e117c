package org.masticweir.path;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.masticweir.catalog.BackendServer;
import org.masticweir.http.Dialer;
import org.masticweir.http.HttpStream;
import org.masticweir.http.TurnTimer;
import org.masticweir.id.RouterId;

/**
 * One attempt to connect to a server; runs on the traffic thread.
 *
 * <p>A direct connection that fails, or is not established soon, is raced by tunnels through other
 * routers. The first connection that is established is used; no other one carries a byte of a
 * request. A failure is the server's only if other routers with paths do not reach it either.
 */
public final class ConnectAttempt implements HttpStream.Connector, AutoCloseable {
    /** Time after which a tunnel races the direct connection, in ms: a few round trips. */
    private static final long RACE_DELAY_MS = 50;

    /** Time after which more routers are asked for a tunnel, in ms. */
    private static final long MORE_PEERS_DELAY_MS = 40;

    /** Timeout of one request for a tunnel, in ms; the carrying router connects within 60 ms. */
    private static final long TUNNEL_TIMEOUT_MS = 100;

    /**
     * Maximum number of routers that are asked for a tunnel. If more than half of the routers have
     * lost the path to a server, one of this many still has it in most cases.
     */
    private static final int MAX_PEERS = 4;

    /** Routers that must fail to reach a server, besides this one, if there are that many. */
    private static final int CONFIRMING_PEERS = 2;

    private final ServerDialer owner;
    private final BackendServer server;
    private final long timeoutMs;
    private final Set<RouterId> askedPeers = new HashSet<>();
    private ClientCallback<ClientConnection> callback;
    private Optional<TurnTimer> raceTimer = Optional.empty();
    private Optional<TurnTimer> timeoutTimer = Optional.empty();
    private Optional<RouterId> carrier = Optional.empty();
    private ConnectFailure failure = ConnectFailure.NOT_REACHED;
    private boolean isDirectTried;
    private boolean isDirectPending;
    private int pendingTunnels;
    private int unreachableCount;
    private boolean isDone;

    ConnectAttempt(ServerDialer owner, BackendServer server, long timeoutMs) {
        this.owner = checkNotNull(owner, "owner");
        this.server = checkNotNull(server, "server");
        this.timeoutMs = timeoutMs;
    }

    /** Starts the attempt; called once. */
    @Override
    public void connect(ClientCallback<ClientConnection> listener) {
        callback = checkNotNull(listener, "listener");
        timeoutTimer = Optional.of(TurnTimer.start(owner.thread(), timeoutMs, this::onTimeout));
        if (owner.usesPeer(server)) {
            startTunnel();
        } else {
            raceTimer =
                    Optional.of(TurnTimer.start(owner.thread(), RACE_DELAY_MS, this::startTunnel));
            dialDirectly();
        }
    }

    /**
     * Starts the attempt on all ways at once; called instead of {@link #connect}. This tells
     * soonest whether the server is reached at all, at the price of connections that are not used.
     */
    public void connectEagerly(ClientCallback<ClientConnection> listener) {
        connect(listener);
        startTunnel();
        askMorePeers();
    }

    /** Returns the router that carries the connection; empty if it is direct. */
    public Optional<RouterId> carrier() {
        return carrier;
    }

    /** Returns the cause of the failure; called after the attempt has failed. */
    public ConnectFailure failure() {
        return failure;
    }

    /** Abandons the attempt; the listener is not called any more. */
    @Override
    public void close() {
        isDone = true;
        raceTimer.ifPresent(TurnTimer::cancel);
        timeoutTimer.ifPresent(TurnTimer::cancel);
    }

    private void dialDirectly() {
        isDirectTried = true;
        isDirectPending = true;
        owner.dialDirectly(server, new DirectResult());
    }

    /** Handles the result of the direct connection, also after the end of the attempt. */
    private final class DirectResult implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection connection) {
            isDirectPending = false;
            owner.recordDirectResult(server, true);
            succeed(connection);
        }

        @Override
        public void failed(IOException e) {
            isDirectPending = false;
            if (!isDone) {
                owner.recordDirectResult(server, false);
                startTunnel();
                failIfNothingPending();
            }
        }
    }

    /** Asks the first router for a tunnel, and others if that one does not open it soon. */
    private void startTunnel() {
        if (isDone || !askedPeers.isEmpty()) {
            return;
        }
        raceTimer.ifPresent(TurnTimer::cancel);
        raceTimer =
                Optional.of(
                        TurnTimer.start(owner.thread(), MORE_PEERS_DELAY_MS, this::askMorePeers));
        askNextPeer();
        if (askedPeers.isEmpty() && !isDirectTried && !owner.paths().areAllLost()) {
            dialDirectly();
        }
        failIfNothingPending();
    }

    private void askMorePeers() {
        while (!isDone && askNextPeer()) {
            // Asks all of them at once.
        }
    }

    /** Asks one more router for a tunnel; returns whether there was one. */
    private boolean askNextPeer() {
        Optional<RouterId> peer =
                askedPeers.size() < MAX_PEERS
                        ? owner.peers().select(askedPeers, owner.now())
                        : Optional.empty();
        if (peer.isEmpty()) {
            return false;
        }
        askedPeers.add(peer.get());
        pendingTunnels++;
        TunnelClient.open(
                owner.dialer(),
                owner.thread(),
                owner.buffers(),
                owner.peers().offer(peer.get()).orElseThrow(),
                server.address(),
                TUNNEL_TIMEOUT_MS,
                result -> onTunnelResult(peer.get(), result));
        return true;
    }

    private void onTunnelResult(RouterId peer, TunnelClient.Result result) {
        pendingTunnels--;
        TunnelStatus status = result.status();
        if (status == TunnelStatus.OPEN) {
            onTunnelOpen(peer, result.connection().orElseThrow());
            return;
        }
        if (isDone) {
            return;
        }
        ServerDialer.LOG.info(
                "path: {} opens no tunnel to {}, {}", peer, server.incarnation(), status);
        if (status.isFailureOfPeer()) {
            owner.peers().recordFailure(peer, owner.now());
        }
        if (status == TunnelStatus.UNREACHABLE) {
            unreachableCount++;
        }
        askMorePeers();
        failIfNothingPending();
    }

    private void onTunnelOpen(RouterId peer, ClientConnection connection) {
        if (isDone) {
            Dialer.discard(connection);
            return;
        }
        if (isDirectPending) {
            owner.recordDirectResult(server, false);
        }
        if (isDirectTried) {
            owner.paths().recordPeerSuccess(server.incarnation(), owner.now());
        }
        owner.peers().recordOpened(peer);
        connection.addCloseListener(c -> owner.peers().recordClosed(peer));
        carrier = Optional.of(peer);
        succeed(connection);
    }

    private void succeed(ClientConnection connection) {
        if (isDone) {
            Dialer.discard(connection);
            return;
        }
        close();
        callback.completed(connection);
    }

    private void onTimeout() {
        if (!isDone && isDirectPending) {
            owner.recordDirectResult(server, false);
        }
        fail();
    }

    /** Fails once no tunnel is pending, unless a direct connection is still likely. */
    private void failIfNothingPending() {
        boolean isDirectHopeless = !isDirectPending || isConfirmed();
        if (pendingTunnels == 0 && isDirectHopeless) {
            fail();
        }
    }

    /** Returns whether the failure is the server's, according to the routers that were asked. */
    private boolean isConfirmed() {
        int required = Math.min(CONFIRMING_PEERS, askedPeers.size());
        return required > 0 && unreachableCount >= required;
    }

    private void fail() {
        if (isDone) {
            return;
        }
        close();
        boolean isAlone = askedPeers.isEmpty() && owner.peers().isEmpty();
        if (isConfirmed()) {
            failure = ConnectFailure.SERVER_UNREACHABLE;
            owner.recordUnreachable(server);
        } else if (owner.paths().areAllLost()) {
            failure = ConnectFailure.NO_PATHS;
        } else if (isAlone) {
            failure = ConnectFailure.UNCONFIRMED;
            owner.recordUnconfirmed(server);
        }
        callback.failed(new IOException("no connection to " + server.address()));
    }
}
