package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkDirection;
import org.masticweir.peer.LinkListener;
import org.masticweir.peer.PeerLinks;
import org.masticweir.quarantine.CrashUpdate;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.relay.RelayMessages.CatalogRequest;
import org.masticweir.relay.RelayMessages.EngineLoad;
import org.masticweir.relay.RelayMessages.FailureUpdate;
import org.masticweir.relay.RelayMessages.Introduction;
import org.masticweir.relay.RelayMessages.LoadUpdate;
import org.masticweir.relay.RelayMessages.RouterInfo;
import org.masticweir.relay.RelayMessages.ServerUpdates;
import org.masticweir.relay.RelayMessages.ServersRequest;
import org.masticweir.relay.RelayMessages.StoreStatus;

/**
 * Connects to the other routers, dispatches their messages and handles link events; owned by the
 * control thread.
 *
 * <p>Reduces load at startup: all routers start at the same time, each opens a link to every other,
 * and all callers reconnect meanwhile. Routers of the own domain are connected at once, routers of
 * other domains one after the other.
 */
final class PeerExchange {
    private static final Logger LOG = LogManager.getLogger(PeerExchange.class);

    /**
     * Delay before the first router of another domain is connected, in ms: callers have priority.
     */
    private static final long REMOTE_DELAY_MS = 500;

    /**
     * Time between connections to two routers of other domains, in ms; 400 routers are connected
     * within ten seconds.
     */
    private static final long REMOTE_INTERVAL_MS = 20;

    private final PeerLinks links;
    private final RouterInfo self;
    private final KnownRouters routers;
    private final ScheduledExecutorService control;
    private final PeerDirectory directory;
    private final LoadListener loadListener;
    private final SharedQuarantine quarantine;
    private final LimitExchange limitExchange;
    private final StoreSharing storeSharing;
    private final CatalogSharing catalogSharing;
    private final StoreReading storeReading;
    private final Counter upLinkCount;
    private final Set<RouterId> pendingRemoteRouters = new HashSet<>();

    /**
     * Receives the load that peers report for engines, and failures of servers; called on the
     * control thread.
     */
    interface LoadListener {
        void handleLoad(RouterId peer, List<EngineLoad> engines);

        void handleFailure(RouterId peer, ServerIncarnation server, boolean gone);

        void onPeerLost(RouterId peer);

        /** Sends the peer this router's load on each engine. */
        void sendLoads(RouterId peer);
    }

    PeerExchange(
            PeerLinks links,
            RouterInfo self,
            KnownRouters routers,
            ScheduledExecutorService control,
            PeerDirectory directory,
            LoadListener loadListener,
            SharedQuarantine quarantine,
            LimitExchange limitExchange,
            StoreSharing storeSharing,
            CatalogSharing catalogSharing,
            StoreReading storeReading,
            Counter upLinkCount) {
        this.links = checkNotNull(links, "links");
        this.self = checkNotNull(self, "self");
        this.routers = checkNotNull(routers, "routers");
        this.control = checkNotNull(control, "control");
        this.directory = checkNotNull(directory, "directory");
        this.loadListener = checkNotNull(loadListener, "loadListener");
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.limitExchange = checkNotNull(limitExchange, "limitExchange");
        this.storeSharing = checkNotNull(storeSharing, "storeSharing");
        this.catalogSharing = checkNotNull(catalogSharing, "catalogSharing");
        this.storeReading = checkNotNull(storeReading, "storeReading");
        this.upLinkCount = checkNotNull(upLinkCount, "upLinkCount");
    }

    /** Registers the message handlers; call before the links start. */
    void start() {
        links.on(Introduction.class, (from, m, reply) -> runOnControl(() -> addRouter(m.router())));
        links.on(
                LoadUpdate.class,
                (from, m, reply) -> runOnControl(() -> loadListener.handleLoad(from, m.loads())));
        links.on(
                FailureUpdate.class,
                (from, m, reply) ->
                        runOnControl(
                                () -> loadListener.handleFailure(from, m.server(), m.isGone())));
        links.on(CrashUpdate.class, (from, m, reply) -> quarantine.handleUpdate(from, m));
        links.on(
                StoreStatus.class,
                (from, m, reply) -> runOnControl(() -> storeSharing.handleStatus(from, m, reply)));
        links.on(
                ServerUpdates.class,
                (from, m, reply) -> runOnControl(() -> storeSharing.handleUpdates(from, m)));
        links.on(
                ServersRequest.class,
                (from, m, reply) -> runOnControl(() -> storeSharing.handleRequest(m, reply)));
        links.on(
                CatalogRequest.class,
                (from, m, reply) -> runOnControl(() -> catalogSharing.handleRequest(m, reply)));
        limitExchange.start();
        links.listen(new LinkEvents());
        storeSharing.start();
    }

    /** Adds a router, and connects to it now or after a short delay. */
    void addRouter(RouterInfo router) {
        if (!routers.add(router)) {
            return;
        }
        limitExchange.addRouter(router.id());
        LOG.info("peers: {} of {} is at {}", router.id(), router.domain(), router.address());
        links.learn(router.id(), router.address());
        if (routers.isInOwnDomain(router.id())) {
            connect(router.id());
        } else if (pendingRemoteRouters.add(router.id())) {
            long delayMs = REMOTE_DELAY_MS + pendingRemoteRouters.size() * REMOTE_INTERVAL_MS;
            control.schedule(() -> connectRemote(router.id()), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void connectRemote(RouterId router) {
        pendingRemoteRouters.remove(router);
        connect(router);
    }

    /**
     * Opens the link by sending an introduction; from now on the router receives all broadcast
     * messages.
     */
    private void connect(RouterId router) {
        directory.add(router);
        links.send(router, new Introduction(self));
    }

    private void runOnControl(Runnable step) {
        ControlThread.execute(control, step, "peers");
    }

    /**
     * Sends the current state to peers whose link has come up, and discards the reported load of
     * peers whose link is down.
     */
    private final class LinkEvents implements LinkListener {
        @Override
        public void linkUp(Hello peer, LinkDirection direction) {
            if (direction != LinkDirection.OUTGOING) {
                return;
            }
            upLinkCount.inc();
            runOnControl(
                    () -> {
                        LOG.info("peers: link to {} is up", peer.router());
                        links.send(peer.router(), new Introduction(self));
                        storeSharing.onLinkUp(peer.router());
                        loadListener.sendLoads(peer.router());
                        quarantine.snapshot().ifPresent(m -> links.send(peer.router(), m));
                    });
        }

        @Override
        public void linkDown(RouterId peer, LinkDirection direction) {
            if (direction == LinkDirection.OUTGOING) {
                upLinkCount.dec();
            }
            runOnControl(
                    () -> {
                        LOG.info("peers: {} link with {} is down", direction, peer);
                        storeReading.recordLinkClosed(peer);
                        if (direction == LinkDirection.INCOMING) {
                            loadListener.onPeerLost(peer);
                            quarantine.removeTrialsOf(peer);
                        }
                    });
        }
    }
}
