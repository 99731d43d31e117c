package org.masticweir.it;

import static com.google.common.base.Preconditions.checkState;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Streams;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.HttpOutcome;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/**
 * Two failure domains with two routers, two engines and a plain service each, for random faults.
 *
 * <p>In each domain one engine checks fencing numbers and the other ignores them. All links of
 * routers pass through the proxy; callers and the test reach the processes themselves. Its parts
 * are each used by one step at a time.
 */
final class FaultFleet implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ImmutableList<String> DOMAINS = ImmutableList.of("a", "b");
    private static final String IGNORING = "ignoring-engines";
    private static final int HEAP_MB = 64;
    private static final long STEP_MS = 10;
    private static final long LIST_LAG_MS = 300;
    private static final long CALL_TIMEOUT_MS = 3_000;
    private static final long READY_BOUND_MS = 30_000;

    private final XnioWorker worker = BenchWorker.start(2);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final CallerClient caller = CallerClient.on(worker, Clock.system());
    private final StandInControl control = StandInControl.over(calls);
    private final Processes processes;
    private final InetSocketAddress platform;
    private final ProxyControl proxy;
    private final InstanceListClient instances;
    private final ImmutableList<BackEndProcess> engines;
    private final ImmutableList<BackEndProcess> services;
    private final ImmutableList<FleetRouter> routers;

    private FaultFleet(long seed) {
        processes = Processes.inNew("random-faults-" + seed);
        try {
            ChildProcess platformProcess = processes.platform(HEAP_MB, LIST_LAG_MS);
            ChildProcess proxyProcess = processes.proxy(HEAP_MB);
            engines =
                    ImmutableList.of(
                            startEngine("e1", "a", true),
                            startEngine("e2", "a", false),
                            startEngine("e3", "b", true),
                            startEngine("e4", "b", false));
            services = ImmutableList.of(startService("s1", "a"), startService("s2", "b"));
            platform = platformProcess.awaitAddress();
            proxy = new ProxyControl(control, proxyProcess.awaitAddress());
            instances = new InstanceListClient(calls, platform);
            new PlatformClient(calls, platform).install(document(400));
            engines.forEach(e -> announce(e, "live"));
            services.forEach(s -> announce(s, "live"));
            routers = startRouters();
            awaitServing();
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /** Starts all processes and returns once every router sees all of the others. */
    static FaultFleet start(long seed) {
        return new FaultFleet(seed);
    }

    /** Returns the document in which lookups have {@code ms} for their first token. */
    static String document(int ms) {
        String ignoring =
                "[engines."
                        + IGNORING
                        + "]\nvendor = counts\nchecks_fencing = false\n"
                        + "models = report\n";
        return Documents.withLookupTarget(ms) + ignoring;
    }

    HttpCaller calls() {
        return calls;
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

    /** Returns the directory of the processes' logs. */
    Path directory() {
        return processes.directory();
    }

    ImmutableList<BackEndProcess> engines() {
        return engines;
    }

    ImmutableList<BackEndProcess> services() {
        return services;
    }

    ImmutableList<FleetRouter> routers() {
        return routers;
    }

    /** Returns the routers of the domain with this number. */
    ImmutableList<FleetRouter> routersOf(int domain) {
        String name = DOMAINS.get(domain);
        return routers.stream()
                .filter(r -> r.domain().equals(name))
                .collect(ImmutableList.toImmutableList());
    }

    /** Sets the links between both domains to {@code mode}, those within them stay as they are. */
    void cutDomains(String mode) {
        cutBetween(0, 1, mode);
        cutBetween(1, 0, mode);
    }

    /** Sets what the routers of one domain can do with routers and back ends of another. */
    private void cutBetween(int from, int to, String mode) {
        String far = DOMAINS.get(to);
        ImmutableList<String> routes =
                Streams.concat(
                                routersOf(to).stream().map(FaultFleet::peerRoute),
                                Stream.concat(engines.stream(), services.stream())
                                        .filter(b -> b.domain().equals(far))
                                        .map(BackEndProcess::id))
                        .collect(ImmutableList.toImmutableList());
        proxy.partition(routes, routersOf(from).stream().map(FleetRouter::pid).toList(), mode);
    }

    OperatorPort operators(FleetRouter router) {
        return new OperatorPort(calls, router.operators());
    }

    /** Returns the name of the route by which peers reach {@code router}. */
    static String peerRoute(FleetRouter router) {
        return "peer-" + router.id();
    }

    /** Returns the name of the route by which {@code router} reaches the platform. */
    static String platformRoute(FleetRouter router) {
        return "platform-" + router.id();
    }

    /** Sends one fault to the platform. */
    void platformFault(String json) {
        fault(platform, json);
    }

    /** Sends one fault to a stand-in. */
    void fault(InetSocketAddress standIn, String json) {
        checkState(control.control(standIn, json), "%s did not take %s", standIn, json);
    }

    /**
     * Shows {@code backEnd} on the instance list in {@code state}, after the list's lag.
     *
     * <p>It tries again while the platform is out, as an instance that announces itself does.
     */
    void announce(BackEndProcess backEnd, String state) {
        InetSocketAddress at = proxy.addOnce(backEnd.id(), backEnd.address());
        InstanceListClient.Entry entry =
                new InstanceListClient.Entry(
                        backEnd.kind().word(), backEnd.id(), backEnd.domain(), backEnd.group(), at);
        Await.until(backEnd + " " + state, READY_BOUND_MS, () -> isAnnounced(entry, state));
    }

    private boolean isAnnounced(InstanceListClient.Entry entry, String state) {
        try {
            instances.put(entry, state);
            return true;
        } catch (AssertionError e) {
            // The list's client says so when the platform does not answer.
            return false;
        }
    }

    /** Has {@code engine} itself say that it leaves, under the highest number it knows. */
    void leaveByItsOwnWord(BackEndProcess engine) {
        long fencing =
                json(HttpCall.get(engine.address(), "/v1/orders")).path("highest_fencing").asLong();
        String order = "{\"fencing\":" + fencing + ",\"kind\":\"leave\"}";
        JsonNode answer = json(HttpCall.postJson(engine.address(), "/v1/orders", order));
        checkState(answer.path("applied").asBoolean(), "%s does not leave: %s", engine, answer);
    }

    /**
     * Starts a graceful shutdown of {@code router}.
     *
     * <p>It is told again until it answers, as a pooled connection may lead to the process before.
     */
    void drain(FleetRouter router) {
        HttpCall call = HttpCall.postJson(router.operators(), "/v1/drain", "{}");
        Await.until(
                router + " drains",
                READY_BOUND_MS,
                () -> json(call).path("state").asText().equals("draining"));
    }

    /** Returns what {@code router} still has under way, for the message of a failure. */
    String requestsAt(FleetRouter router) {
        return json(HttpCall.get(router.operators(), "/v1/requests")).toString();
    }

    /** Returns the accepted changes as the table has them, each with its revision. */
    ImmutableMap<String, Long> acceptedChanges() {
        HttpCall scan = HttpCall.get(platform, "/tables/config?after=history/&limit=1000");
        ImmutableMap.Builder<String, Long> changes = ImmutableMap.builder();
        AtomicReference<JsonNode> rows = new AtomicReference<>();
        Await.until(
                "rows of changes",
                READY_BOUND_MS,
                () -> {
                    rows.set(json(scan).path("rows"));
                    return rows.get().isArray();
                });
        for (JsonNode row : rows.get()) {
            if (row.path("key").asText().startsWith("history/")) {
                JsonNode entry = read(row.path("value").asText());
                changes.put(entry.path("change_id").asText(), entry.path("revision").asLong());
            }
        }
        return changes.buildOrThrow();
    }

    boolean takesWork(FleetRouter router) {
        HttpCall call = HttpCall.get(router.callers(), "/v1/ready");
        HttpOutcome outcome = calls.call(call, CALL_TIMEOUT_MS).join();
        return outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess();
    }

    /** Starts {@code router} anew or lets it run again, and returns once it takes work. */
    void heal(FleetRouter router) {
        router.heal();
        router.awaitReady();
        Await.until(router + " takes work", READY_BOUND_MS, () -> takesWork(router));
    }

    @Override
    public void close() {
        processes.close();
        calls.close();
        worker.shutdownNow();
    }

    private void awaitServing() {
        for (FleetRouter router : routers) {
            heal(router);
            Await.until("all seen by " + router, READY_BOUND_MS, () -> seesAll(router));
        }
    }

    private boolean seesAll(FleetRouter router) {
        OperatorPort port = operators(router);
        return routers.stream()
                        .filter(r -> r != router)
                        .allMatch(r -> port.stateOf(r.id()).equals("serving"))
                && engines.stream().allMatch(e -> port.engineState(e.id()).equals("live"))
                && services.stream().allMatch(s -> port.engineState(s.id()).equals("live"));
    }

    private ImmutableList<FleetRouter> startRouters() {
        ImmutableList.Builder<FleetRouter> started = ImmutableList.builder();
        for (int i = 0; i < FaultPlan.ROUTERS; i++) {
            started.add(startRouter("n" + (i + 1), DOMAINS.get(i / 2)));
        }
        return started.build();
    }

    private FleetRouter startRouter(String id, String domain) {
        RouterPorts ports = RouterPorts.of(ServerPorts.choose(RouterPorts.COUNT));
        InetSocketAddress toPlatform = proxy.add("platform-" + id, platform);
        InetSocketAddress peers = proxy.add("peer-" + id, ports.peers());
        FleetRouter router = new FleetRouter(processes, id, domain, ports, toPlatform, peers);
        instances.put(new InstanceListClient.Entry("router", id, domain, "routers", peers), "live");
        return router;
    }

    private BackEndProcess startEngine(String id, String domain, boolean checksFencing) {
        return BackEndProcess.start(
                processes,
                BackEndProcess.Kind.ENGINE,
                id,
                domain,
                checksFencing ? DeploymentText.ENGINES : IGNORING,
                "--models",
                "report:1",
                "--step-ms",
                Long.toString(STEP_MS),
                "--checks-fencing",
                Boolean.toString(checksFencing));
    }

    private BackEndProcess startService(String id, String domain) {
        return BackEndProcess.start(
                processes, BackEndProcess.Kind.SERVICE, id, domain, DeploymentText.SERVICES);
    }

    private JsonNode json(HttpCall call) {
        HttpOutcome outcome = calls.call(call, CALL_TIMEOUT_MS).join();
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return MAPPER.missingNode();
        }
        return read(answered.answer().text());
    }

    private static JsonNode read(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
