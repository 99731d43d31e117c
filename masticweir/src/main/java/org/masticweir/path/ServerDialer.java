package org.masticweir.path;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.Comparator.comparing;

import com.google.common.collect.ImmutableList;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.http.Dialer;
import org.masticweir.http.TurnTimer;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;

/**
 * Opens connections to servers, directly or through a tunnel of another router; owned by the
 * traffic thread.
 *
 * <p>After failures at several servers, further servers are tried in the background to find out
 * whether the paths to all are lost. While they are, a random server is tried from time to time, so
 * that a returned path is used soon and no request waits for it.
 */
public final class ServerDialer {
    static final Logger LOG = LogManager.getLogger(ServerDialer.class);

    /** Time between two background checks, in ms. */
    private static final long CHECK_INTERVAL_MS = 400;

    /** Servers of the own domain, and of others, that one check tries. */
    private static final int CHECKS_PER_SIDE = ServerPaths.LOST_FROM_SERVERS / 2;

    /** Time after which a server counts as not reached by a check, in ms. */
    private static final long CHECK_TIMEOUT_MS = 100;

    private final Dialer dialer;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Clock clock;
    private final ServerPaths paths;
    private final DomainId ownDomain;
    private final TunnelPeers peers;
    private final RandomGenerator random;
    private final Supplier<ImmutableList<BackendServer>> listedServers;
    private final Consumer<Boolean> onPathsChanged;
    private boolean wereAllLost;
    private boolean isCheckRunning;

    /**
     * Creates a dialer without offers of other routers.
     *
     * @param listedServers returns all listed servers
     * @param onPathsChanged called with whether the paths to all servers are lost, at each change
     */
    public ServerDialer(
            Dialer dialer,
            XnioIoThread thread,
            ByteBufferPool buffers,
            Clock clock,
            ServerPaths paths,
            DomainId ownDomain,
            RandomGenerator random,
            Supplier<ImmutableList<BackendServer>> listedServers,
            Consumer<Boolean> onPathsChanged) {
        this.dialer = checkNotNull(dialer, "dialer");
        this.thread = checkNotNull(thread, "thread");
        this.buffers = checkNotNull(buffers, "buffers");
        this.clock = checkNotNull(clock, "clock");
        this.paths = checkNotNull(paths, "paths");
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
        peers = new TunnelPeers(ownDomain, random);
        this.random = checkNotNull(random, "random");
        this.listedServers = checkNotNull(listedServers, "listedServers");
        this.onPathsChanged = checkNotNull(onPathsChanged, "onPathsChanged");
    }

    /** Returns an attempt to connect to {@code server} that ends within {@code timeoutMs}. */
    public ConnectAttempt newAttempt(BackendServer server, long timeoutMs) {
        return new ConnectAttempt(this, server, timeoutMs);
    }

    /** Records an offer of a linked router. */
    public void recordOffer(RouterId router, TunnelOffer offer) {
        boolean wasOpen = peers.offer(router).map(TunnelOffer::isOpen).orElse(true);
        LOG.log(wasOpen == offer.isOpen() ? Level.DEBUG : Level.INFO, "path: {} {}", router, offer);
        peers.recordOffer(router, offer);
    }

    /** Removes the offer of a router whose link is down. */
    public void removeOffer(RouterId router) {
        peers.remove(router);
    }

    /** Returns whether connections to {@code server} go through another router now. */
    public boolean usesPeer(BackendServer server) {
        return paths.mustUsePeer(server.incarnation(), now()) && peers.isAnyOpen(now());
    }

    /**
     * Returns whether this router reaches no server: it has lost its paths, and no linked router
     * offers tunnels. False if the linked routers have lost their paths too, because callers would
     * be served no better elsewhere.
     */
    public boolean isIsolated() {
        return paths.areAllLost() && peers.isEmpty();
    }

    void dialDirectly(BackendServer server, ClientCallback<ClientConnection> callback) {
        dialer.dial(server.address(), thread, buffers, callback);
    }

    Dialer dialer() {
        return dialer;
    }

    XnioIoThread thread() {
        return thread;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    ServerPaths paths() {
        return paths;
    }

    TunnelPeers peers() {
        return peers;
    }

    long now() {
        return clock.nowMs();
    }

    /** Records whether a direct connection to {@code server} was established. */
    void recordDirectResult(BackendServer server, boolean isEstablished) {
        if (isEstablished) {
            paths.recordDirectSuccess(server.incarnation());
        } else {
            paths.recordDirectFailure(server.incarnation(), now());
        }
        onPathRecorded(server);
    }

    /** Records that other routers do not reach {@code server} either. */
    void recordUnreachable(BackendServer server) {
        paths.recordUnreachable(server.incarnation(), now());
        onPathRecorded(server);
    }

    /**
     * Records that this router does not reach {@code server}, and that there is no other router.
     */
    void recordUnconfirmed(BackendServer server) {
        paths.recordUnconfirmed(server.incarnation());
        onPathRecorded(server);
    }

    /** Reports a change of the paths, and starts checks while they are lost or doubtful. */
    private void onPathRecorded(BackendServer server) {
        boolean areAllLost = paths.areAllLost();
        if (areAllLost != wereAllLost) {
            wereAllLost = areAllLost;
            LOG.info(
                    "path: direct paths to all servers {}, last tried {} in {}; {} broken paths",
                    areAllLost ? "lost" : "are back",
                    server.incarnation(),
                    server.domain(),
                    paths.brokenPathCount(now()));
            onPathsChanged.accept(areAllLost);
        }
        if (!isCheckRunning && (areAllLost || paths.areDoubtful())) {
            isCheckRunning = true;
            thread.execute(this::check);
        }
    }

    /** Connects to servers that have not failed yet; if all paths are lost, to any one server. */
    private void check() {
        List<BackendServer> candidates = new ArrayList<>(listedServers.get());
        Collections.shuffle(candidates, new Random(random.nextLong()));
        // A server that others don't reach either is no evidence about this router's paths.
        candidates.sort(comparing(s -> paths.isUnreachable(s.incarnation(), now())));
        if (paths.areAllLost()) {
            startChecks(candidates, s -> true, 1);
        } else {
            startChecks(candidates, this::isNear, CHECKS_PER_SIDE);
            startChecks(candidates, s -> !isNear(s), CHECKS_PER_SIDE);
        }
        thread.executeAfter(this::endCheck, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether a server is in the own domain. A domain may be cut off from the others, and
     * all servers of a domain may fail together; servers of both sides tell this from lost paths.
     */
    private boolean isNear(BackendServer server) {
        return server.domain().equals(ownDomain);
    }

    private void startChecks(
            List<BackendServer> candidates, Predicate<BackendServer> filter, int count) {
        candidates.stream()
                .filter(filter)
                .filter(s -> paths.areAllLost() || !paths.hasFailed(s.incarnation()))
                .limit(count)
                .forEach(s -> new PathCheck(s).start());
    }

    private void endCheck() {
        isCheckRunning = paths.areAllLost() || paths.areDoubtful();
        if (isCheckRunning) {
            check();
        }
    }

    /** One background connection, which is not used. */
    private final class PathCheck implements ClientCallback<ClientConnection> {
        private final BackendServer server;
        private boolean isDone;

        PathCheck(BackendServer server) {
            this.server = server;
        }

        void start() {
            TurnTimer.start(thread, CHECK_TIMEOUT_MS, () -> finish(false));
            dialDirectly(server, this);
        }

        @Override
        public void completed(ClientConnection connection) {
            Dialer.discard(connection);
            finish(true);
        }

        @Override
        public void failed(IOException e) {
            LOG.debug("path: {} is not reached, {}", server.incarnation(), e.getMessage());
            finish(false);
        }

        private void finish(boolean isEstablished) {
            if (!isDone || isEstablished) {
                isDone = true;
                recordDirectResult(server, isEstablished);
            }
        }
    }
}
