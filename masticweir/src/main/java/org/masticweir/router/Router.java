package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.callers.CallerHandler;
import org.masticweir.callers.CallerLimits;
import org.masticweir.claims.ClaimService;
import org.masticweir.claims.ClaimServiceSettings;
import org.masticweir.engine.EngineClient;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.platform.HttpPlatform;
import org.masticweir.routing.ExpectedDelayChooser;
import org.masticweir.routing.InFlight;
import org.masticweir.serving.GapBounds;
import org.masticweir.serving.RequestRegistry;
import org.masticweir.serving.RequestService;
import org.masticweir.serving.ServingContext;
import org.masticweir.serving.ServingObserver;
import org.masticweir.serving.ServingTuning;
import org.masticweir.settings.DaemonSettings;
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
    private static final int HEADER_SLACK = 4;
    private static final int MAX_HEADERS = 200;
    private static final int MAX_TOKENS = 1 << 20;
    private static final long NO_ENGINE_WAIT_MS = 4_000;
    private static final long RETAIN_MS = 60_000;

    private final DaemonSettings settings;
    private final Clock clock;
    private final XnioWorker worker;
    private final HttpCaller calls;
    private final ControlLoop control;
    private final RequestService service;
    private final Undertow callers;

    private Router(DaemonSettings settings, Clock clock, XnioWorker worker) {
        this.settings = checkNotNull(settings, "settings");
        this.clock = checkNotNull(clock, "clock");
        this.worker = checkNotNull(worker, "worker");
        calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
        control =
                ControlLoop.create(
                        clock,
                        settings.router().domain(),
                        HttpPlatform.at(settings.platform().address(), calls),
                        calls,
                        timing());
        service = RequestService.of(context());
        callers = callerServer();
    }

    /**
     * Starts a router.
     *
     * @throws MasticweirException if a port cannot be opened
     */
    public static Router start(DaemonSettings settings, Clock clock) {
        Router router = new Router(settings, clock, newWorker(settings.router().ioThreads()));
        try {
            router.callers.start();
        } catch (RuntimeException e) {
            router.close();
            throw MasticweirException.causedBy(
                    ErrorCode.SETTINGS_INVALID,
                    Verdict.NOT_RUN,
                    "[router] caller_address = "
                            + settings.router().callerAddress()
                            + ": the port cannot be opened; name a free one",
                    e);
        }
        router.control.start();
        LOG.info(
                "router: {} serves callers at {}",
                settings.router().id(),
                settings.router().callerAddress());
        return router;
    }

    @Override
    public void close() {
        control.close();
        callers.stop();
        calls.close();
        worker.shutdownNow();
    }

    private ControlTiming timing() {
        return new ControlTiming(
                settings.platform().configPollMs(),
                settings.platform().instancesPollMs(),
                settings.engines().statePollMs(),
                settings.platform().deadlineMs(),
                settings.recovery().probeTimeoutMs());
    }

    private ServingContext context() {
        DaemonSettings.Recovery recovery = settings.recovery();
        InFlight inFlight = InFlight.create();
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
                RequestRegistry.holding(tuning.maxRequests()),
                EngineClient.of(
                        new DefaultByteBufferPool(true, BUFFER_BYTES), recovery.connectTimeoutMs()),
                calls,
                ExpectedDelayChooser.create(inFlight, ThreadLocalRandom::current),
                inFlight,
                GapBounds.of(recovery.silenceFloorMs(), recovery.silenceStartMs()),
                claims(),
                ServingObserver.none());
    }

    private ClaimService claims() {
        return ClaimService.create(
                settings.router().id(),
                HttpPlatform.at(settings.platform().address(), calls),
                control.executor(),
                clock,
                ClaimServiceSettings.defaults());
    }

    private Undertow callerServer() {
        DaemonSettings.Callers bounds = settings.callers();
        CallerLimits limits =
                new CallerLimits(
                        bounds.maxBodyBytes(),
                        bounds.maxHeaderBytes(),
                        bounds.stallMs(),
                        MAX_TOKENS);
        return Undertow.builder()
                .setWorker(worker)
                .addHttpListener(
                        settings.router().callerAddress().getPort(),
                        settings.router().callerAddress().getHostString())
                // The server's own limit is above ours: up to it we can still answer with a code.
                .setServerOption(
                        UndertowOptions.MAX_HEADER_SIZE, bounds.maxHeaderBytes() * HEADER_SLACK)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setHandler(CallerHandler.of(service, limits))
                .build();
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
