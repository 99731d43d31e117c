package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.xnio.XnioWorker;

/**
 * Three routers that know each other, on a test bed of their own.
 *
 * <p>The first two are in domain a, the third in domain b, so that the second holds the copies of
 * the first, and the third those of both once one of them is lost. Used by one test at a time.
 */
final class RouterFleet implements HealableBed {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long KNOWN_BOUND_MS = 20_000;
    private static final long CALL_TIMEOUT_MS = 2_000;

    private final TestBed bed;
    private final XnioWorker worker;
    private final HttpCaller calls;
    private final Processes processes;
    private final ImmutableList<FleetRouter> routers;

    private RouterFleet(TestBed bed) {
        this.bed = checkNotNull(bed, "bed");
        worker = BenchWorker.start(1);
        calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
        processes = Processes.inNew("fleet");
        try {
            ImmutableList<Integer> ports = ServerPorts.choose(3 * RouterPorts.COUNT);
            routers =
                    ImmutableList.of(
                            launch("n1", "a", ports.subList(0, 3)),
                            launch("n2", "a", ports.subList(3, 6)),
                            launch("n3", "b", ports.subList(6, 9)));
            routers.forEach(this::announce);
            awaitServing();
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /** Starts all processes and returns once the routers see each other serving. */
    static RouterFleet start() {
        TestBed bed = TestBed.startWithoutRouters();
        try {
            return new RouterFleet(bed);
        } catch (RuntimeException | Error e) {
            bed.close();
            throw e;
        }
    }

    TestBed bed() {
        return bed;
    }

    HttpCaller calls() {
        return calls;
    }

    /** Returns the first router, in domain a. */
    FleetRouter first() {
        return routers.get(0);
    }

    /** Returns the second router, in domain a, which holds the first one's copies. */
    FleetRouter second() {
        return routers.get(1);
    }

    /** Returns the third router, in domain b. */
    FleetRouter third() {
        return routers.get(2);
    }

    RunningCall submit(FleetRouter router, CallRequest request) {
        return RunningCall.submit(bed.caller(), router.callers(), request);
    }

    /** Reads {@code request} again at {@code router}, after the event named. */
    RunningCall readAgain(FleetRouter router, CallRequest request, String lastEventId) {
        return RunningCall.readAgain(bed.caller(), router.callers(), request, lastEventId);
    }

    /** Returns what {@code router} shows its operators of {@code request}; missing for nothing. */
    JsonNode shownAt(FleetRouter router, CallRequest request) {
        String id = RequestId.forKey(TeamId.of(request.team()), request.key()).value();
        for (JsonNode shown : operators(router, "/v1/requests").path("requests")) {
            if (shown.path("id").asText().equals(id)) {
                return shown;
            }
        }
        return MAPPER.missingNode();
    }

    /** Returns what {@code router} tells its operators of {@code path}. */
    JsonNode operators(FleetRouter router, String path) {
        HttpOutcome outcome =
                calls.call(HttpCall.get(router.operators(), path), CALL_TIMEOUT_MS).join();
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return MAPPER.missingNode();
        }
        try {
            return MAPPER.readTree(answered.answer().text());
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Delays all that other routers send to {@code router}, and its answers. */
    void delayPeersOf(FleetRouter router, long ms) {
        bed.proxy().delay(peerRoute(router.id()), ms);
    }

    /** Ends every fault and returns once all routers see each other and all back ends. */
    @Override
    public void heal() {
        routers.forEach(FleetRouter::heal);
        bed.healBackEnds();
        platformFault("{\"slow_ms\":0,\"lose_answers\":0}");
        awaitServing();
    }

    /** Sends one fault to the platform. */
    void platformFault(String json) {
        if (!bed.control().control(bed.platform(), json)) {
            throw new AssertionError("the platform did not take " + json);
        }
    }

    @Override
    public void close() {
        processes.close();
        calls.close();
        worker.shutdownNow();
        bed.close();
    }

    private void awaitServing() {
        routers.forEach(FleetRouter::awaitReady);
        for (FleetRouter router : routers) {
            Await.until(
                    "all routers serving, as " + router + " sees it",
                    KNOWN_BOUND_MS,
                    () -> seesAllServing(router));
            Await.until(
                    "all back ends live at " + router,
                    KNOWN_BOUND_MS,
                    () -> liveBackEnds(router) == bed.engines().size() + bed.services().size());
        }
    }

    private int liveBackEnds(FleetRouter router) {
        int live = 0;
        for (JsonNode engine : operators(router, "/v1/engines").path("engines")) {
            live += engine.path("state").asText().equals("live") ? 1 : 0;
        }
        return live;
    }

    private boolean seesAllServing(FleetRouter router) {
        JsonNode status = operators(router, "/v1/status");
        long others = routers.stream().filter(r -> r != router && servingAt(status, r)).count();
        return status.path("state").asText().equals("serving") && others == routers.size() - 1;
    }

    private static boolean servingAt(JsonNode status, FleetRouter router) {
        for (JsonNode peer : status.path("peers")) {
            if (peer.path("router").asText().equals(router.id())) {
                return peer.path("state").asText().equals("serving");
            }
        }
        return false;
    }

    private static String peerRoute(String id) {
        return "peer-" + id;
    }

    private FleetRouter launch(String id, String domain, ImmutableList<Integer> numbers) {
        RouterPorts ports = RouterPorts.of(numbers);
        InetSocketAddress platform =
                bed.proxy().addOnce(RouterLauncher.platformRoute(id), bed.platform());
        InetSocketAddress peers = bed.proxy().addOnce(peerRoute(id), ports.peers());
        return new FleetRouter(processes, id, domain, ports, platform, peers);
    }

    /** Puts {@code router} on the instance list. */
    private void announce(FleetRouter router) {
        InstanceListClient.Entry entry =
                new InstanceListClient.Entry(
                        "router", router.id(), router.domain(), "", router.advertised());
        new InstanceListClient(calls, bed.platform()).put(entry, "live");
    }
}
