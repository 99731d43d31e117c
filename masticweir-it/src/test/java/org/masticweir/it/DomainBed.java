package org.masticweir.it;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.bench.standin.StandInControl.RunGeneration;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.HttpOutcome;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/**
 * Two failure domains of real processes whose every link can be cut, for tests of control.
 *
 * <p>Domain a has router r1 and engine e1, domain b has r2 and e2. Polling and heartbeats run at
 * their defaults, so that delays measured here are those of a deployment. Used by one test at a
 * time.
 */
final class DomainBed implements HealableBed {
    static final long LIST_LAG_MS = 300;
    static final long STEP_MS = 10;
    private static final long ORDER_TIMEOUT_MS = 2_000;
    private static final long READY_BOUND_MS = 20_000;
    private static final long HEALED_BOUND_MS = 30_000;
    private static final int HEAP_MB = 64;
    private static final int MAX_BATCH = 8;

    private final XnioWorker worker = BenchWorker.start(2);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final CallerClient caller = CallerClient.on(worker, Clock.system());
    private final StandInControl control = StandInControl.over(calls);
    private final Processes processes = Processes.inNew("domain-bed");
    private final List<DomainRouter> added = new ArrayList<>();
    private final ImmutableList<BackEndProcess> engines;
    private final ImmutableList<InstanceListClient.Entry> engineEntries;
    private final ImmutableList<DomainRouter> routers;
    private final InetSocketAddress platform;
    private final InstanceListClient instances;
    private final ProxyControl proxy;

    private DomainBed() {
        try {
            ChildProcess platformProcess = processes.platform(HEAP_MB, LIST_LAG_MS);
            ChildProcess proxyProcess = processes.proxy(HEAP_MB);
            engines = ImmutableList.of(startEngine("e1", "a"), startEngine("e2", "b"));
            platform = platformProcess.awaitAddress();
            proxy = new ProxyControl(control, proxyProcess.awaitAddress());
            instances = new InstanceListClient(calls, platform);
            new PlatformClient(calls, platform).install(DeploymentText.ini());
            engineEntries =
                    engines.stream().map(this::entryOf).collect(ImmutableList.toImmutableList());
            engineEntries.forEach(e -> instances.put(e, "live"));
            routers = ImmutableList.of(newRouter("r1", "a"), newRouter("r2", "b"));
            routers.forEach(DomainRouter::start);
            routers.forEach(this::awaitServing);
            awaitHealed();
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /** Starts all processes and returns once the routers serve and hear each other. */
    static DomainBed start() {
        return new DomainBed();
    }

    StandInControl control() {
        return control;
    }

    ProxyControl proxy() {
        return proxy;
    }

    InstanceListClient instances() {
        return instances;
    }

    /** Returns the directory of the processes' logs, for a test's files. */
    Path directory() {
        return processes.directory();
    }

    ImmutableList<DomainRouter> routers() {
        return routers;
    }

    DomainRouter routerA() {
        return routers.get(0);
    }

    DomainRouter routerB() {
        return routers.get(1);
    }

    ImmutableList<BackEndProcess> engines() {
        return engines;
    }

    /** Returns the row of the instance list that names {@code engine}. */
    InstanceListClient.Entry entryOf(BackEndProcess engine) {
        InetSocketAddress at = proxy.addOnce(engine.id(), engine.address());
        return new InstanceListClient.Entry(
                "engine", engine.id(), engine.domain(), engine.group(), at);
    }

    OperatorPort operators(DomainRouter router) {
        return new OperatorPort(calls, router.operators());
    }

    /** Sends {@code engine} an order, as its controller would. */
    void order(BackEndProcess engine, String json) {
        HttpCall call = HttpCall.postJson(engine.address(), "/v1/orders", json);
        HttpOutcome outcome = calls.call(call, ORDER_TIMEOUT_MS).join();
        if (!(outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess())) {
            throw new AssertionError(engine + " did not take " + json + ": " + outcome);
        }
    }

    /** Returns the status of {@code GET /v1/ready} at the callers' port; 0 without an answer. */
    int ready(DomainRouter router) {
        HttpCall call = HttpCall.get(router.callers(), "/v1/ready");
        HttpOutcome outcome = calls.call(call, ORDER_TIMEOUT_MS).join();
        return outcome instanceof HttpOutcome.Answered a ? a.answer().status() : 0;
    }

    AnswerCheck check() {
        return new AnswerCheck(this::runsOf);
    }

    RunningCall submit(DomainRouter router, CallRequest request) {
        return RunningCall.submit(caller, router.callers(), request);
    }

    RunningCall submitFirst(DomainRouter router, CallRequest request) {
        return RunningCall.submitFirst(caller, router.callers(), request);
    }

    /** Announces a router that is not started yet; it lives until the test's end. */
    DomainRouter addRouter(String id, String domain) {
        DomainRouter router = newRouter(id, domain);
        added.add(router);
        return router;
    }

    /** Returns once {@code router} takes work. */
    void awaitServing(DomainRouter router) {
        Await.get(router + " ready", router.process().ready(), READY_BOUND_MS);
        if (!control.awaitReady(router.callers())) {
            throw new AssertionError("router " + router + " takes no work");
        }
    }

    /** Returns how many attempts at {@code request} the engine recorded. */
    int runsOn(BackEndProcess engine, CallRequest request) {
        return control.runsOf(engine.address(), request).size();
    }

    /** Returns the attempts at {@code request} that the engines which live recorded. */
    ImmutableList<RunGeneration> runsOf(CallRequest request) {
        return engines.stream()
                .filter(e -> e.process().alive())
                .flatMap(e -> control.runsOf(e.address(), request).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /** Sends one fault to the platform. */
    void platformFault(String json) {
        if (!control.control(platform, json)) {
            throw new AssertionError("the platform did not take " + json);
        }
    }

    /** Returns one of the platform's counters, such as {@code writes}. */
    long platformCount(String counter) {
        return control.records(platform).path(counter).asLong();
    }

    /** Sets the mode of both directions between the domains' routers. */
    void betweenDomains(String mode) {
        routers.forEach(r -> proxy.set(DomainRouter.peerRoute(r.id()), mode));
    }

    /** Sets the mode between the platform and {@code router}. */
    void toPlatform(DomainRouter router, String mode) {
        proxy.set(DomainRouter.platformRoute(router.id()), mode);
    }

    /** Returns once both routers hear each other, hold one revision and see both engines live. */
    void awaitHealed() {
        Await.until("healed", HEALED_BOUND_MS, this::healed);
    }

    /** Ends every fault, ends what the test added, and returns once all is as it was. */
    @Override
    public void heal() {
        proxy.passAll();
        platformFault("{\"outage_ms\":0,\"slow_ms\":0,\"lose_answers\":0,\"list_lag_ms\":300}");
        for (DomainRouter router : added) {
            router.process().kill();
            instances.remove(router.id());
        }
        added.clear();
        engineEntries.forEach(e -> instances.put(e, "live"));
        engines.forEach(BackEndProcess::restartIfDead);
        for (DomainRouter router : routers) {
            if (!router.process().alive()) {
                router.start();
                awaitServing(router);
            }
        }
        awaitHealed();
    }

    @Override
    public void close() {
        processes.close();
        calls.close();
        worker.shutdownNow();
    }

    private boolean healed() {
        Optional<JsonNode> a = operators(routerA()).query("/v1/status");
        Optional<JsonNode> b = operators(routerB()).query("/v1/status");
        return a.isPresent()
                && b.isPresent()
                && reaches(a.get())
                && reaches(b.get())
                && a.get().path("config_revision").equals(b.get().path("config_revision"))
                && operators(routerA()).stateOf(routerB().id()).equals("serving")
                && operators(routerB()).stateOf(routerA().id()).equals("serving")
                && routers.stream().allMatch(this::seesEnginesLive);
    }

    private static boolean reaches(JsonNode status) {
        return status.path("platform").asText().equals("reachable");
    }

    private boolean seesEnginesLive(DomainRouter router) {
        return engines.stream().allMatch(e -> operators(router).engineState(e.id()).equals("live"));
    }

    private DomainRouter newRouter(String id, String domain) {
        DomainRouter router = DomainRouter.create(processes, proxy, platform, id, domain);
        instances.put(router.entry(), "live");
        return router;
    }

    private BackEndProcess startEngine(String id, String domain) {
        return BackEndProcess.startReportEngine(
                processes,
                id,
                domain,
                "--step-ms",
                Long.toString(STEP_MS),
                "--max-batch",
                Integer.toString(MAX_BATCH));
    }
}
