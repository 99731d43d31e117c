package org.masticweir.it;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.bench.standin.StandInControl.RunGeneration;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/**
 * A small deployment of real processes in two failure domains, behind the fault-injecting proxy.
 *
 * <p>Four engines, two plain services, two routers and the platform. Routers reach everything
 * through the proxy; the test reaches the processes themselves. Used by one test at a time.
 */
final class TestBed implements HealableBed {
    /** How long a generation goes on without a caller. */
    static final long ORPHAN_MS = 1_000;

    /** How long a router told to leave still takes requests. */
    static final long BALANCER_LAG_MS = 500;

    /** Lag of the instance list. */
    static final long LIST_LAG_MS = 300;

    /** Time of one token on an idle engine. */
    static final long STEP_MS = 10;

    /** Time after which every router has read the list and polled every back end again. */
    private static final long SETTLE_MS = 700;

    private static final long LIVE_BOUND_MS = 15_000;

    private static final int PLATFORM_HEAP_MB = 96;
    private static final int PROXY_HEAP_MB = 96;

    private final XnioWorker worker = BenchWorker.start(2);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final CallerClient caller = CallerClient.on(worker, Clock.system());
    private final StandInControl control = StandInControl.over(calls);
    private final Processes processes = Processes.inNew("test-bed");
    private final ImmutableList<BackEndProcess> engines;
    private final ImmutableList<BackEndProcess> services;
    private final InetSocketAddress platform;
    private final PlatformClient instances;
    private final ProxyControl proxy;
    private final ImmutableMap<String, InetSocketAddress> announced;
    private final RouterLauncher launcher;
    private final ImmutableList<RouterProcess> routers;

    private TestBed(ImmutableList<RouterLauncher.Spec> specs) {
        try {
            ChildProcess platformProcess = processes.platform(PLATFORM_HEAP_MB, LIST_LAG_MS);
            ChildProcess proxyProcess = processes.proxy(PROXY_HEAP_MB);
            engines = startEngines();
            services = startServices();
            platform = platformProcess.awaitAddress();
            proxy = new ProxyControl(control, proxyProcess.awaitAddress());
            instances = new PlatformClient(calls, platform);
            instances.install(DeploymentText.ini());
            announced = announceAll();
            launcher = new RouterLauncher(processes, proxy, instances, platform);
            routers = launch(specs);
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /** Starts all processes and returns once the routers take work. */
    static TestBed start() {
        return new TestBed(
                ImmutableList.of(
                        new RouterLauncher.Spec("r1", "a"), new RouterLauncher.Spec("r2", "b")));
    }

    /** Starts all processes but routers, for a test that brings its own. */
    static TestBed startWithoutRouters() {
        return new TestBed(ImmutableList.of());
    }

    CallerClient caller() {
        return caller;
    }

    StandInControl control() {
        return control;
    }

    ProxyControl proxy() {
        return proxy;
    }

    AnswerCheck check() {
        return new AnswerCheck(this::runsOf);
    }

    InetSocketAddress platform() {
        return platform;
    }

    ImmutableList<BackEndProcess> engines() {
        return engines;
    }

    ImmutableList<BackEndProcess> services() {
        return services;
    }

    /** Returns the routers that every test shares, one in each domain. */
    ImmutableList<RouterProcess> routers() {
        return routers;
    }

    /** Returns the router in domain a. */
    RouterProcess router() {
        return routers.get(0);
    }

    /** Starts one more router, which the test that asked for it may end. */
    RouterProcess addRouter(String id, String domain) {
        return launch(ImmutableList.of(new RouterLauncher.Spec(id, domain))).get(0);
    }

    /** Ends a router that {@link #addRouter} started, and takes it off the instance list. */
    void remove(RouterProcess router) {
        router.process().kill();
        instances.remove(router.id());
    }

    /** Submits {@code request} to the router in domain a. */
    RunningCall submit(CallRequest request) {
        return submit(router(), request);
    }

    RunningCall submit(RouterProcess router, CallRequest request) {
        return RunningCall.submit(caller, router.callers(), request);
    }

    RunningCall submitFirst(RouterProcess router, CallRequest request) {
        return RunningCall.submitFirst(caller, router.callers(), request);
    }

    /** Returns the attempts at {@code request} that the engines which live recorded. */
    ImmutableList<RunGeneration> runsOf(CallRequest request) {
        return engines.stream()
                .flatMap(e -> runsOn(e, request).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the attempts at {@code request} that {@code engine} recorded. */
    ImmutableList<RunGeneration> runsOn(BackEndProcess engine, CallRequest request) {
        return engine.process().alive()
                ? control.runsOf(engine.address(), request)
                : ImmutableList.of();
    }

    /** Tells whether {@code engine} recorded that a run of {@code request} was cancelled. */
    boolean cancelledOn(BackEndProcess engine, CallRequest request) {
        for (JsonNode run : control.records(engine.address()).path("generations")) {
            if (run.path("request").asText().equals(idOf(request))) {
                return run.path("cancelled").asBoolean();
            }
        }
        return false;
    }

    /** Returns how often {@code service} ran {@code request}. */
    int callsOn(BackEndProcess service, CallRequest request) {
        int count = 0;
        for (JsonNode call : control.records(service.address()).path("calls")) {
            if (call.path("request").asText().equals(idOf(request))) {
                count++;
            }
        }
        return count;
    }

    /** Returns the live engine that has the latest attempt at {@code request}. */
    BackEndProcess engineOf(CallRequest request) {
        return engines.stream()
                .filter(e -> !runsOn(e, request).isEmpty())
                .max(Comparator.comparing(e -> latestAttempt(e, request)))
                .orElseThrow(() -> new AssertionError("no engine runs " + request.key()));
    }

    /** Sends one fault to a back end. */
    void fault(BackEndProcess backEnd, String json) {
        if (!control.control(backEnd.address(), json)) {
            throw new AssertionError(backEnd + " did not take " + json);
        }
    }

    /** Returns a reader of the platform's table. */
    ControlTable table() {
        return new ControlTable(calls, platform);
    }

    /** Makes the platform close every connection for {@code ms}. */
    void platformOutage(long ms) {
        if (!control.control(platform, "{\"outage_ms\":" + ms + "}")) {
            throw new AssertionError("the platform did not take the outage");
        }
    }

    /** Announces {@code backEnd} as {@code live} or {@code leaving}. */
    void announce(BackEndProcess backEnd, String state) {
        instances.announce(backEnd, announced.get(backEnd.id()), state);
    }

    /** Ends every fault, starts what was killed, and lets the routers see it. */
    @Override
    public void heal() {
        healBackEnds();
        awaitAllLive(routers);
    }

    /** Ends every fault and starts the back ends that were killed. */
    void healBackEnds() {
        proxy.passAll();
        platformOutage(0);
        for (BackEndProcess backEnd : backEnds()) {
            if (!backEnd.restartIfDead()) {
                fault(backEnd, backEnd.kind().noFault());
            }
            announce(backEnd, "live");
        }
    }

    @Override
    public void close() {
        processes.close();
        calls.close();
        worker.shutdownNow();
    }

    private static String idOf(CallRequest request) {
        return RequestId.forKey(TeamId.of(request.team()), request.key()).value();
    }

    /** Returns once every one of {@code seeing} sends to every back end. */
    private void awaitAllLive(List<RouterProcess> seeing) {
        Await.elapse(LIST_LAG_MS + SETTLE_MS);
        ImmutableSet<String> all =
                backEnds().stream().map(BackEndProcess::id).collect(ImmutableSet.toImmutableSet());
        OperatorView operators = new OperatorView(calls);
        for (RouterProcess router : seeing) {
            Await.until(
                    "all back ends live at " + router.id(),
                    LIVE_BOUND_MS,
                    () -> operators.liveBackEnds(router).equals(all));
        }
    }

    private ImmutableList<BackEndProcess> backEnds() {
        return ImmutableList.<BackEndProcess>builder().addAll(engines).addAll(services).build();
    }

    private int latestAttempt(BackEndProcess engine, CallRequest request) {
        return runsOn(engine, request).stream().mapToInt(RunGeneration::attempt).max().orElse(0);
    }

    private ImmutableList<BackEndProcess> startEngines() {
        return ImmutableList.of(
                startEngine("e1", "a"),
                startEngine("e2", "a"),
                startEngine("e3", "b"),
                startEngine("e4", "b"));
    }

    private BackEndProcess startEngine(String id, String domain) {
        return BackEndProcess.startReportEngine(
                processes, id, domain, "--step-ms", Long.toString(STEP_MS));
    }

    private ImmutableList<BackEndProcess> startServices() {
        return ImmutableList.of(startService("s1", "a"), startService("s2", "b"));
    }

    private BackEndProcess startService(String id, String domain) {
        return BackEndProcess.start(
                processes, BackEndProcess.Kind.SERVICE, id, domain, DeploymentText.SERVICES);
    }

    private ImmutableMap<String, InetSocketAddress> announceAll() {
        ImmutableMap.Builder<String, InetSocketAddress> addresses = ImmutableMap.builder();
        for (BackEndProcess backEnd : backEnds()) {
            InetSocketAddress address = proxy.add(backEnd.id(), backEnd.address());
            instances.announce(backEnd, address, "live");
            addresses.put(backEnd.id(), address);
        }
        return addresses.buildOrThrow();
    }

    private ImmutableList<RouterProcess> launch(List<RouterLauncher.Spec> specs) {
        ImmutableList<RouterProcess> added = launcher.start(specs);
        for (RouterProcess router : added) {
            if (!control.awaitReady(router.callers())) {
                throw new AssertionError("router " + router.id() + " takes no work");
            }
        }
        awaitAllLive(added);
        return added;
    }
}
