package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.error.MasticweirException;
import org.masticweir.feed.ReadingShare;
import org.masticweir.forward.LoadTracker;
import org.masticweir.forward.ServerHealth;
import org.masticweir.forward.ServerNotices;
import org.masticweir.forward.ServerSelector;
import org.masticweir.forward.ServiceRetryBudgets;
import org.masticweir.forward.SilenceTimeouts;
import org.masticweir.forward.StreamDurationEstimator;
import org.masticweir.forward.WaitQueue;
import org.masticweir.http.AnswerPool;
import org.masticweir.http.Dialer;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.logs.LogSetup;
import org.masticweir.metrics.MetricName;
import org.masticweir.peer.PeerLinks;
import org.masticweir.permits.ServerLimits;
import org.masticweir.permits.SharedLimits;
import org.masticweir.permits.SharedPermits;
import org.masticweir.permits.SharedRooms;
import org.masticweir.quarantine.Quarantine;
import org.masticweir.quarantine.QuarantineStore;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.relay.RelayMessages.RouterInfo;
import org.masticweir.store.Revision;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * A running router that passes requests on to servers; created by {@link #start}. Thread-safe.
 *
 * <p>Creates and connects the components, and contains no logic of its own.
 */
public final class RelayRouter implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(RelayRouter.class);

    /**
     * Timeout for a connection to a server, in ms: hundreds of times the network latency, plus one
     * lost packet.
     */
    private static final long CONNECT_TIMEOUT_MS = 300;

    private static final int BUFFER_BYTES = 16 * 1024;

    /** Memory that the long answers to all sends share. */
    private static final long ANSWER_POOL_BYTES = 16 << 20;

    private static final long TICK_MS = 100;

    private final RelaySettings settings;
    private final Clock clock;
    private final PlatformPort platform;
    private final Dialer dialer;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final ControlExecutor control = new ControlExecutor();
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final HttpCaller calls;
    private final PlatformPort.Store store;
    private final LoadTracker loads = LoadTracker.create();
    private final ServerHealth health = ServerHealth.create();
    private final ServerNotices serverNotices = ServerNotices.create();
    private final MetricRegistry metrics = new MetricRegistry();
    private final DrainingAdmission admission = new DrainingAdmission();
    private final KeepAliveConnections keepAlive = new KeepAliveConnections();
    private final ServiceRetryBudgets retryBudgets;
    private final PeerLinks links;
    private final PeerDirectory directory;
    private final DeploymentState deployment;
    private final StoreReading reading;
    private final CatalogSharing catalogs;
    private final StoreSharing sharing;
    private final StoreFollowers followers;
    private final QuarantineStore quarantineStore;
    private final SharedQuarantine quarantine;
    private final ServerLimits serverLimits = ServerLimits.create();
    private final ServerLimits brittleServers = ServerLimits.create();
    private final SharedPermits permits;
    private final SharedLimits limits;
    private final SharedRooms rooms;
    private final AnswerMetadataRecorder metadataRecorder;
    private final ServerAccess access;
    private final LossInquiry inquiry;
    private final InFlightRequests inFlight;
    private final PeerExchange peers;
    private final RelayShutdown shutdown;
    private final RelayPorts ports;
    private final CallersPort callersPort;
    private final ThreadDelays delays;

    private volatile RelayView view = RelayView.empty();

    private RelayRouter(
            RelaySettings settings,
            StartupListener listener,
            Clock clock,
            PlatformPort platform,
            Dialer dialer) {
        this.settings = checkNotNull(settings, "settings");
        this.clock = checkNotNull(clock, "clock");
        this.platform = checkNotNull(platform, "platform");
        this.dialer = checkNotNull(dialer, "dialer");
        retryBudgets = ServiceRetryBudgets.of(settings.retryRatio(), settings.retryAllowance());
        worker = TrafficWorker.create();
        thread = worker.getIoThread();
        calls = HttpCaller.create(worker, HttpCallerLimits.defaults(), dialer);
        store = platform.store(settings.store(), calls);
        links = RelayLinks.open(settings, clock);
        deployment = newDeployment();
        RouterInfo self = new RouterInfo(settings.router(), settings.domain(), settings.peers());
        directory = new PeerDirectory(store, self, control);
        reading = new StoreReading(ReadingShare.of(settings.router()), clock);
        KnownRouters routers = new KnownRouters(self);
        catalogs = new CatalogSharing(links, deployment, control, clock, metrics);
        sharing = storeSharing(routers);
        followers = storeFollowers();
        LoadSharing loadSharing = loadSharing();
        quarantineStore = new QuarantineStore(store, control, clock, settings.quarantineMs());
        quarantine = sharedQuarantine();
        permits = new SharedPermits(settings.router(), links, clock, thread, metrics);
        limits = sharedLimits();
        rooms = sharedRooms();
        metadataRecorder =
                new AnswerMetadataRecorder(
                        serverNotices, limits, rooms, platform.protocol(), clock, metrics);
        access = serverAccess();
        inFlight = new InFlightRequests(quarantine, clock);
        inquiry = lossInquiry();
        quarantine.onChange((c, q) -> thread.execute(() -> inFlight.onQuarantineChange(c)));
        peers = peerExchange(self, routers, loadSharing);
        shutdown = relayShutdown();
        ports =
                RelayPorts.create(
                        settings,
                        worker,
                        new RelayHandler(context(loadSharing), admission, keepAlive),
                        new ConnectionGate(thread, clock, metrics),
                        platform.protocol().readyPath(),
                        this::isReady,
                        metrics,
                        quarantine);
        callersPort =
                new CallersPort(
                        listener, ports, settings.callers(), this::canServeCallers, control, clock);
        delays = new ThreadDelays(control, thread, thread::getStackTrace, clock, metrics);
    }

    /**
     * Starts a router.
     *
     * @throws MasticweirException if a port cannot be opened
     */
    public static RelayRouter start(RelaySettings settings, Clock clock, PlatformPort platform) {
        return start(settings, StartupListener.open(settings.callers()), clock, platform);
    }

    /**
     * Starts a router that takes over the callers' port from {@code listener}.
     *
     * @throws MasticweirException if a port cannot be opened
     */
    public static RelayRouter start(
            RelaySettings settings, StartupListener listener, Clock clock, PlatformPort platform) {
        return start(settings, listener, clock, platform, Dialer.tcp());
    }

    /**
     * Starts a router that opens its connections to the store and to servers with {@code dialer}.
     *
     * @throws MasticweirException if a port cannot be opened
     */
    public static RelayRouter start(
            RelaySettings settings,
            StartupListener listener,
            Clock clock,
            PlatformPort platform,
            Dialer dialer) {
        RelayRouter router = new RelayRouter(settings, listener, clock, platform, dialer);
        router.open();
        return router;
    }

    private void open() {
        ports.openManagement();
        peers.start();
        access.start();
        links.start();
        control.execute(followers::start);
        directory.join(peers::addRouter);
        quarantineStore.load(quarantine::restore);
        control.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        delays.start();
        callersPort.openWhenReady();
        LOG.info("router: {} in {} has started", settings.router(), settings.domain());
    }

    /**
     * Returns whether the router can serve callers. Without the quarantine records, requests that
     * ended servers before the start would be sent to further servers.
     */
    private boolean canServeCallers() {
        return deployment.isReady() && quarantineStore.isLoaded();
    }

    private boolean isReady() {
        return deployment.isReady() && !admission.isDraining() && !access.dialer().isIsolated();
    }

    private void tick() {
        deployment.tick();
        reading.tick();
        catalogs.tick();
    }

    private DeploymentState newDeployment() {
        return new DeploymentState(
                platform.deploymentFormat(),
                clock,
                new UnreadableRows(metrics.counter(MetricName.of("rows_unreadable_total"))),
                settings.changeBoundMs(),
                this::publish);
    }

    private StoreSharing storeSharing(KnownRouters routers) {
        return new StoreSharing(
                links,
                routers,
                deployment,
                catalogs,
                reading,
                this::onUpdates,
                control,
                clock,
                StoreSharing.readerPollMs(settings.changeBoundMs()));
    }

    private StoreFollowers storeFollowers() {
        return new StoreFollowers(
                platform.deploymentFormat(),
                store,
                deployment,
                sharing,
                reading,
                settings.changeBoundMs(),
                control,
                clock);
    }

    private PeerExchange peerExchange(
            RouterInfo self, KnownRouters routers, LoadSharing loadSharing) {
        return new PeerExchange(
                links,
                self,
                routers,
                control,
                directory,
                loadSharing,
                quarantine,
                new LimitExchange(limits, permits, rooms, thread, links),
                sharing,
                catalogs,
                reading,
                RelayLinks.upLinkCounter(metrics));
    }

    private LoadSharing loadSharing() {
        return new LoadSharing(
                thread,
                loads,
                health,
                incarnation -> view.server(incarnation),
                clock,
                directory::knownRouters,
                links::send);
    }

    private SharedQuarantine sharedQuarantine() {
        return new SharedQuarantine(
                Quarantine.create(settings.router(), settings.quarantineMs()),
                clock,
                metrics,
                control,
                update -> directory.knownRouters().forEach(p -> links.send(p, update)),
                quarantineStore::save);
    }

    private SharedLimits sharedLimits() {
        return new SharedLimits(
                serverLimits,
                permits,
                clock,
                metrics,
                update -> directory.knownRouters().forEach(p -> links.send(p, update)));
    }

    private SharedRooms sharedRooms() {
        return new SharedRooms(
                settings.router(),
                brittleServers,
                permits,
                links,
                clock,
                thread,
                server -> loads.ownLoad(server).running(),
                metrics,
                update -> directory.knownRouters().forEach(p -> links.send(p, update)));
    }

    private ServerAccess serverAccess() {
        return new ServerAccess(
                settings,
                worker,
                thread,
                buffers,
                dialer,
                calls,
                clock,
                links,
                directory::knownRouters,
                () -> view,
                () -> !admission.isDraining(),
                health,
                metrics);
    }

    private LossInquiry lossInquiry() {
        ServerProbe check =
                new ServerProbe(
                        access.caller(), platform.protocol(), limits, metadataRecorder, clock);
        LossInquiry.Timer timer =
                (ms, step) -> thread.executeAfter(step, ms, TimeUnit.MILLISECONDS);
        return new LossInquiry(quarantine, check::probe, inFlight::startedRunsAt, timer, clock);
    }

    private RelayShutdown relayShutdown() {
        return new RelayShutdown(
                admission,
                () -> thread.execute(keepAlive::closeAll),
                () -> thread.execute(inFlight::endAll),
                control,
                clock,
                settings.graceMs());
    }

    private void onUpdates(Revision revision) {
        followers.recordServersReceived(revision);
    }

    private void publish(RelayView next) {
        view = next;
        Set<ServerIncarnation> present =
                next.servers().values().stream()
                        .map(BackendServer::incarnation)
                        .collect(Collectors.toUnmodifiableSet());
        thread.execute(
                () -> {
                    loads.retainServers(present);
                    health.updateListedServers(present, clock.nowMs());
                    serverNotices.updateListedServers(present, clock.nowMs());
                    inquiry.updateListed(present);
                    limits.retainServers(present);
                    rooms.retainServers(present);
                    access.retainServers(present);
                });
    }

    private RelayContext context(LoadSharing loadSharing) {
        SplittableRandom random = new SplittableRandom();
        return new RelayContext(
                clock,
                thread,
                platform.protocol(),
                buffers,
                access.dialer(),
                access.caller(),
                new ServerVerifier(access.dialer(), health, clock, loadSharing::scheduleReport),
                new PromptCacheClient(
                        access.caller(), platform.protocol(), metadataRecorder, clock),
                () -> view,
                deployment::evidence,
                AnswerPool.of(ANSWER_POOL_BYTES),
                loads,
                health,
                ServerSelector.create(
                        loads,
                        health,
                        serverNotices,
                        serverLimits,
                        brittleServers,
                        settings.domain(),
                        random),
                retryBudgets,
                new SharedRetryPermits(retryBudgets, permits, clock),
                limits,
                rooms,
                metadataRecorder,
                quarantine,
                inquiry,
                inFlight,
                WaitQueue.create(),
                SilenceTimeouts.create(),
                StreamDurationEstimator.create(),
                random,
                RelayMetrics.of(metrics, clock),
                CONNECT_TIMEOUT_MS,
                loadSharing::scheduleReport);
    }

    /**
     * Adds {@code n} to a counter that the surrounding program exposes on this router's metrics
     * page.
     */
    public void incrementCounter(String family, long n) {
        metrics.counter(MetricName.of(family)).inc(n);
    }

    /** Returns the address that callers connect to. */
    public InetSocketAddress callers() {
        return settings.callers();
    }

    /**
     * Completes when callers are served. Earlier connections wait until then; only connections
     * attempted at the moment when the router takes over the port are refused.
     */
    public CompletableFuture<Void> servingFuture() {
        return callersPort.openedFuture();
    }

    /**
     * Shuts down within the grace period, and serves all requests that can end within it; when the
     * future completes, {@link #close} may be called.
     *
     * @param sinceMs time of the shutdown request by the router's clock; it may precede the start
     *     of the router
     */
    public CompletableFuture<Void> startShutdown(long sinceMs) {
        return shutdown.start(sinceMs);
    }

    /**
     * Returns a future that completes at the end of the shutdown, without starting the shutdown.
     */
    public CompletableFuture<Void> shutdownFuture() {
        return shutdown.shutdownFuture();
    }

    /**
     * Returns a future that completes if callers are not served any more; see {@link ThreadDelays}.
     */
    public CompletableFuture<Void> stuckFuture() {
        return delays.stuckFuture();
    }

    /**
     * Applies changed settings: the log level and the retry budget. Addresses change only at a
     * restart of the process; requests are not affected.
     */
    public void reload(RelaySettings changed) {
        LogSetup.level(Level.valueOf(changed.logLevel().name()));
        thread.execute(() -> retryBudgets.update(changed.retryRatio(), changed.retryAllowance()));
        LOG.info("router: settings reloaded, log level {}", changed.logLevel());
    }

    @Override
    public void close() {
        control.shutdownNow();
        callersPort.close();
        ports.close();
        access.close();
        links.close();
        calls.close();
        worker.shutdownNow();
    }
}
