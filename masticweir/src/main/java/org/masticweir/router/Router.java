package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.claims.BatchLimits;
import org.masticweir.claims.ClaimPolicy;
import org.masticweir.claims.ClaimService;
import org.masticweir.claims.ClaimServiceSettings;
import org.masticweir.claims.SharedWriteLimits;
import org.masticweir.control.ControlSettings;
import org.masticweir.control.DomainController;
import org.masticweir.control.SweepSettings;
import org.masticweir.engine.EngineClient;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.id.RouterId;
import org.masticweir.limits.LimitSettings;
import org.masticweir.membership.RouterAddress;
import org.masticweir.metrics.MetricsPage;
import org.masticweir.metrics.MetricsTuning;
import org.masticweir.metrics.ServingMetrics;
import org.masticweir.operators.EngineQueries;
import org.masticweir.operators.OperatorHandler;
import org.masticweir.operators.OperatorLimits;
import org.masticweir.peer.PeerLinks;
import org.masticweir.recovery.copy.CopyLinkLimits;
import org.masticweir.recovery.copy.CopyLinks;
import org.masticweir.recovery.copy.CopyStore;
import org.masticweir.recovery.copy.KeyAsk;
import org.masticweir.recovery.copy.KeyHomes;
import org.masticweir.recovery.copy.KeyLinks;
import org.masticweir.recovery.copy.RegisteredKeys;
import org.masticweir.recovery.copy.RendezvousRanking;
import org.masticweir.recovery.copy.StoreLimits;
import org.masticweir.routing.InFlight;
import org.masticweir.serving.CopyContext;
import org.masticweir.serving.GapBounds;
import org.masticweir.serving.RequestRegistry;
import org.masticweir.serving.RequestService;
import org.masticweir.serving.RunningRequest;
import org.masticweir.serving.ServingContext;
import org.masticweir.serving.ServingPolicy;
import org.masticweir.serving.ServingTuning;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.store.HttpPlatform;
import org.masticweir.time.Clock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * One running router: callers' and operators' ports, control thread and traffic threads.
 *
 * <p>Created by {@link #start}; {@link #close} ends it at once. Thread-safe.
 */
public final class Router implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Router.class);

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long NO_ENGINE_WAIT_MS = 4_000;
    private static final long RETAIN_MS = 60_000;
    private static final long METRICS_WINDOW_MS = 60_000;

    private final DaemonSettings settings;
    private final Clock clock;
    private final XnioWorker worker;
    private final HttpCaller calls;
    private final PortSecurity security;
    private final HttpPlatform platform;
    private final PeerLinks links;
    private final ControlLoop control;
    private final RequestRegistry registry;
    private final MetricRegistry metrics = new MetricRegistry();
    private final ServingContext context;
    private final DomainController engines;
    private final Shutdown shutdown;
    private final HttpPorts ports;

    private Router(DaemonSettings settings, Clock clock) {
        this.settings = checkNotNull(settings, "settings");
        this.clock = checkNotNull(clock, "clock");
        security = PortSecurity.of(settings.security(), clock);
        DaemonSettings.Router own = settings.router();
        RouterAddress self =
                RouterAddress.of(
                        own.id(), own.domain(), own.advertisedPeerAddress(), clock.wallMs());
        links = PeerPort.open(settings, self, clock, security.peers());
        LinkGauges.register(metrics, links::counters);
        worker = newWorker(own.ioThreads());
        calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
        platform = HttpPlatform.at(settings.platform().address(), calls);
        control = new ControlLoop(settings, clock, platform, calls, links, self);
        registry = RequestRegistry.holding(settings.callers().maxRequests());
        context = context();
        ShareExchange.start(
                links,
                context.policy().shares(),
                control::othersServingHere,
                clock,
                control.executor(),
                settings.limits().shareExchangeMs());
        engines = controller();
        shutdown = new Shutdown(settings.shutdown(), control, registry, clock, engines::release);
        ports =
                HttpPorts.create(
                        settings, security, worker, RequestService.of(context), operatorHandler());
    }

    /**
     * Starts a router.
     *
     * @throws MasticweirException if a port cannot be opened
     */
    public static Router start(DaemonSettings settings, Clock clock) {
        Router router = new Router(settings, clock);
        try {
            router.ports.open();
        } catch (MasticweirException e) {
            router.close();
            throw e;
        }
        router.links.start();
        router.control.start();
        router.engines.start();
        LOG.info(
                "router: {} serves callers at {}",
                settings.router().id(),
                settings.router().callerAddress());
        return router;
    }

    /** Leaves without cutting off a request; the future completes when {@link #close} may. */
    public CompletableFuture<Void> drain() {
        return shutdown.start();
    }

    /** Completes once a shutdown, however it was started, has nothing more to finish. */
    public CompletableFuture<Void> drained() {
        return shutdown.drained();
    }

    @Override
    public void close() {
        control.close();
        ports.close();
        links.close();
        calls.close();
        worker.shutdownNow();
    }

    private DomainController controller() {
        return DomainController.create(
                settings.router().id(),
                settings.router().domain(),
                platform,
                platform,
                calls,
                control.executor(),
                clock,
                controlSettings(),
                control::controlInput);
    }

    private ControlSettings controlSettings() {
        return ControlSettings.defaults()
                .sweeping(SweepSettings.defaults().keeping(settings.claims().retentionMs()))
                .unloadingAfter(settings.control().unloadAfterMs())
                .loadingWithin(settings.control().loadTimeoutMs());
    }

    private ServingContext context() {
        DaemonSettings.Recovery recovery = settings.recovery();
        InFlight inFlight = InFlight.create();
        GapBounds gaps = GapBounds.of(recovery.silenceFloorMs(), recovery.silenceStartMs());
        control.traffic().alsoRetain(inFlight::retain);
        control.traffic().alsoRetain(gaps::retain);
        control.engineInUse(engine -> inFlight.outstanding(engine) > 0);
        ServingTuning tuning =
                new ServingTuning(
                        recovery.probeTimeoutMs(),
                        recovery.silenceFloorMs(),
                        recovery.silenceStartMs(),
                        recovery.maxAttempts(),
                        NO_ENGINE_WAIT_MS,
                        settings.callers().orphanMs(),
                        RETAIN_MS,
                        settings.callers().maxRequests());
        return new ServingContext(
                clock,
                control::view,
                tuning,
                registry,
                EngineClient.of(
                        new DefaultByteBufferPool(true, BUFFER_BYTES), recovery.connectTimeoutMs()),
                calls,
                settings.routing().chooser().create(inFlight, ThreadLocalRandom::current),
                inFlight,
                gaps,
                claims(),
                copies(),
                ServingPolicy.create(
                        settings.router().id(),
                        clock,
                        control::view,
                        inFlight,
                        () -> control.servingRouters().size(),
                        control.executor(),
                        control.traffic(),
                        LimitSettings.of(settings.limits()),
                        settings.retries()),
                ServingMetrics.of(
                        metrics,
                        new MetricsTuning(settings.callers().maxTeamsShown(), METRICS_WINDOW_MS),
                        clock));
    }

    private CopyContext copies() {
        RouterId self = settings.router().id();
        CopyLinks copyLinks =
                CopyLinks.open(
                        links,
                        self,
                        CopyStore.within(StoreLimits.defaults()),
                        id -> registry.find(id).flatMap(RunningRequest::owned),
                        clock,
                        CopyLinkLimits.defaults().withFramesPerS(settings.copies().framesPerS()));
        KeyLinks keys = keyLinks();
        control.copyOver(copyLinks, keys);
        return new CopyContext(
                self,
                copyLinks,
                RendezvousRanking.of(control::servingRouters, settings.router().domain()),
                keys);
    }

    private KeyLinks keyLinks() {
        RouterId self = settings.router().id();
        KeyLinks keys =
                KeyLinks.open(
                        links,
                        self,
                        KeyHomes.of(control::servingRouters, self, settings.router().domain()),
                        RegisteredKeys.create(),
                        clock,
                        KeyAsk.BOUND_MS);
        KeyGauges.register(metrics, keys);
        return keys;
    }

    private ClaimService claims() {
        DaemonSettings.Claims own = settings.claims();
        int deadlineMs = settings.platform().deadlineMs();
        ClaimService claims =
                ClaimService.create(
                        settings.router().id(),
                        platform,
                        control.executor(),
                        clock,
                        new ClaimServiceSettings(
                                ClaimPolicy.defaults(),
                                BatchLimits.defaults().withWaitMs(own.batchWaitMs()),
                                deadlineMs));
        claims.enableSharedWrites(
                links,
                control::servingHere,
                SharedWriteLimits.of(
                        own.shareAbove(), own.writerWaitMs(), own.writerAvoidMs(), deadlineMs));
        return claims;
    }

    private OperatorHandler operatorHandler() {
        RouterOperators answers =
                new RouterOperators(
                        settings,
                        control,
                        platform,
                        context.registry(),
                        EngineQueries.of(() -> control.view().routing(), context.inFlight()),
                        clock,
                        shutdown::start);
        return OperatorHandler.of(
                answers,
                answers,
                MetricsPage.of(metrics),
                OperatorLimits.defaults(),
                security.operators());
    }

    private static XnioWorker newWorker(int ioThreads) {
        try {
            return Xnio.getInstance()
                    .createWorker(
                            OptionMap.builder()
                                    .set(Options.WORKER_IO_THREADS, ioThreads)
                                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                    .set(Options.WORKER_TASK_MAX_THREADS, 2)
                                    .set(Options.TCP_NODELAY, true)
                                    .set(Options.THREAD_DAEMON, true)
                                    .getMap());
        } catch (IOException e) {
            throw MasticweirException.causedBy(
                    ErrorCode.INTERNAL, Verdict.NOT_RUN, "traffic threads cannot be started", e);
        }
    }
}
