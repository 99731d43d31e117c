package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.reports.ReadingDuty;
import org.xnio.XnioWorker;

/**
 * Routers that share the reports of their domain's engines, started for one test.
 *
 * <p>Domain a has routers n1 to n3 and engines e1 to e4, domain b router n4 and engine e5.
 */
final class SharingBed implements AutoCloseable {
    private static final int HEAP_MB = 64;
    private static final long CALL_TIMEOUT_MS = 2_000;
    private static final long READY_BOUND_MS = 30_000;
    private static final long LIST_LAG_MS = 1_000;
    private static final ImmutableMap<String, String> ROUTERS =
            ImmutableMap.of("n1", "a", "n2", "a", "n3", "a", "n4", "b");
    private static final ImmutableMap<String, String> ENGINES =
            ImmutableMap.of("e1", "a", "e2", "a", "e3", "a", "e4", "a", "e5", "b");
    private static final String SETTINGS =
            """
            [engines]
            share_above = 0
            """;

    private final XnioWorker worker = BenchWorker.start(2);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final StandInControl control = StandInControl.over(calls);
    private final Processes processes = Processes.inNew("sharing-bed");
    private final InetSocketAddress platform;
    private final ProxyControl proxy;
    private final InstanceListClient instances;
    private final ImmutableList<BackEndProcess> engines;
    private final ImmutableList<Node> routers;

    private SharingBed() {
        try {
            ChildProcess platformProcess = processes.platform(HEAP_MB, LIST_LAG_MS);
            ChildProcess proxyProcess = processes.proxy(HEAP_MB);
            engines =
                    ENGINES.entrySet().stream()
                            .map(e -> startEngine(e.getKey(), e.getValue()))
                            .collect(ImmutableList.toImmutableList());
            platform = platformProcess.awaitAddress();
            proxy = new ProxyControl(control, proxyProcess.awaitAddress());
            instances = new InstanceListClient(calls, platform);
            new PlatformClient(calls, platform).install(DeploymentText.ini());
            engines.forEach(this::announce);
            routers =
                    ROUTERS.entrySet().stream()
                            .map(e -> startRouter(e.getKey(), e.getValue()))
                            .collect(ImmutableList.toImmutableList());
            Await.until("all see each other", READY_BOUND_MS, this::settled);
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /** One router and where its operators reach it. */
    record Node(String id, String domain, ChildProcess process, InetSocketAddress operators) {}

    /** Starts all processes and returns once the routers and engines are known to each other. */
    static SharingBed start() {
        return new SharingBed();
    }

    BackEndProcess engine(String id) {
        return engines.stream().filter(e -> e.id().equals(id)).findFirst().orElseThrow();
    }

    /** Returns the routers of {@code domain}. */
    ImmutableList<Node> routersOf(String domain) {
        return routers.stream()
                .filter(r -> r.domain().equals(domain))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the router of domain a that owns the report of {@code engine}. */
    Node ownerOf(BackEndProcess engine) {
        Set<RouterId> readers =
                routersOf("a").stream().map(r -> RouterId.of(r.id())).collect(Collectors.toSet());
        return routersOf("a").stream()
                .filter(r -> owns(RouterId.of(r.id()), readers, EngineId.of(engine.id())))
                .findFirst()
                .orElseThrow();
    }

    /** Has {@code engine} leave by an order that only itself knows of. */
    void orderToLeave(BackEndProcess engine) {
        String order = "{\"fencing\":1,\"kind\":\"leave\"}";
        HttpCall call = HttpCall.postJson(engine.address(), "/v1/orders", order);
        HttpOutcome outcome = calls.call(call, CALL_TIMEOUT_MS).join();
        if (!(outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess())) {
            throw new AssertionError(engine + " did not take " + order + ": " + outcome);
        }
    }

    /** Returns how often the load report of {@code engine} was read so far. */
    long stateReads(BackEndProcess engine) {
        return control.records(engine.address()).path("state_reads").asLong();
    }

    /** Returns what {@code router} says of {@code engine}, or {@code unknown}. */
    String stateAt(Node router, BackEndProcess engine) {
        return port(router).engineState(engine.id());
    }

    /** Tells whether {@code router} sends nothing new to {@code engine}. */
    boolean spares(Node router, BackEndProcess engine) {
        String state = stateAt(router, engine);
        return state.equals("leaving") || state.equals("unknown");
    }

    /** Cuts every link between routers. */
    void cutAllPeers() {
        routers.forEach(r -> proxy.set(peerRoute(r.id()), "cut"));
    }

    @Override
    public void close() {
        processes.close();
        calls.close();
        worker.shutdownNow();
    }

    private static boolean owns(RouterId router, Set<RouterId> readers, EngineId engine) {
        ReadingDuty duty = ReadingDuty.of(router, 1);
        duty.readers(readers);
        return duty.tells(engine, 0);
    }

    private OperatorPort port(Node router) {
        return new OperatorPort(calls, router.operators());
    }

    private boolean settled() {
        return routers.stream().allMatch(r -> seesOthers(r) && seesEngines(r));
    }

    private boolean seesOthers(Node router) {
        return routers.stream()
                .filter(r -> r != router)
                .allMatch(r -> port(router).stateOf(r.id()).equals("serving"));
    }

    /** Tells whether a router sees its own engines, and some engine of the other domain. */
    private boolean seesEngines(Node router) {
        List<BackEndProcess> live =
                engines.stream().filter(e -> stateAt(router, e).equals("live")).toList();
        long own = engines.stream().filter(e -> e.domain().equals(router.domain())).count();
        long seen = live.stream().filter(e -> e.domain().equals(router.domain())).count();
        return seen == own && live.size() > own;
    }

    private void announce(BackEndProcess engine) {
        instances.put(
                new InstanceListClient.Entry(
                        "engine", engine.id(), engine.domain(), engine.group(), engine.address()),
                "live");
    }

    private BackEndProcess startEngine(String id, String domain) {
        return BackEndProcess.startReportEngine(processes, id, domain, "--max-batch", "8");
    }

    private Node startRouter(String id, String domain) {
        RouterPorts ports = RouterPorts.of(ServerPorts.choose(RouterPorts.COUNT));
        InetSocketAddress advertised = proxy.add(peerRoute(id), ports.peers());
        instances.put(new InstanceListClient.Entry("router", id, domain, "", advertised), "live");
        String settings = RouterIni.of(id, domain, ports, advertised, platform, SETTINGS);
        return new Node(id, domain, processes.router(id, HEAP_MB, settings), ports.operators());
    }

    private static String peerRoute(String id) {
        return "peer-" + id;
    }
}
