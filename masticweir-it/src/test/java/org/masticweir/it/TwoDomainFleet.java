package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.xnio.XnioWorker;

/**
 * Two routers in each of two failure domains, so that every router has a holder in its own domain.
 *
 * <p>Routers m1 and m2 are in domain a, m3 and m4 in domain b. Used by one test at a time.
 */
final class TwoDomainFleet implements HealableBed {
    private static final long SERVING_BOUND_MS = 20_000;

    private final TestBed bed;
    private final XnioWorker worker = BenchWorker.start(1);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final Processes processes = Processes.inNew("two-domains");
    private final ImmutableList<FleetRouter> routers;

    private TwoDomainFleet(TestBed bed) {
        this.bed = checkNotNull(bed, "bed");
        try {
            routers =
                    ImmutableList.of(
                            launch("m1", "a"),
                            launch("m2", "a"),
                            launch("m3", "b"),
                            launch("m4", "b"));
            InstanceListClient list = new InstanceListClient(calls, bed.platform());
            routers.forEach(r -> list.put(entry(r), "live"));
            awaitServing();
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /** Starts all processes and returns once the routers see each other serving. */
    static TwoDomainFleet start() {
        TestBed bed = TestBed.startWithoutRouters();
        try {
            return new TwoDomainFleet(bed);
        } catch (RuntimeException | Error e) {
            bed.close();
            throw e;
        }
    }

    TestBed bed() {
        return bed;
    }

    /** Returns the routers of domain a. */
    ImmutableList<FleetRouter> here() {
        return routers.subList(0, 2);
    }

    /** Returns the routers of domain b. */
    ImmutableList<FleetRouter> there() {
        return routers.subList(2, 4);
    }

    RunningCall submit(FleetRouter router, CallRequest request) {
        return RunningCall.submit(bed.caller(), router.callers(), request);
    }

    /** Returns one figure of the metrics page of {@code router}; missing for none. */
    JsonNode metric(FleetRouter router, String kind, String name) {
        return operators(router)
                .query("/metrics")
                .orElseThrow(() -> new AssertionError(router + " shows no metrics"))
                .path(kind)
                .path(name);
    }

    /** Ends every fault and returns once all routers see each other and all back ends. */
    @Override
    public void heal() {
        routers.forEach(FleetRouter::heal);
        bed.healBackEnds();
        awaitServing();
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
            String what = "all routers and back ends serving, as " + router + " sees it";
            Await.until(what, SERVING_BOUND_MS, () -> seesAllServing(operators(router)));
        }
    }

    private boolean seesAllServing(OperatorPort port) {
        long serving = routers.stream().filter(r -> port.stateOf(r.id()).equals("serving")).count();
        boolean own = port.status().path("state").asText().equals("serving");
        return own && serving >= routers.size() - 1 && allLive(port, bed.engines());
    }

    private static boolean allLive(OperatorPort port, List<BackEndProcess> backEnds) {
        return backEnds.stream().allMatch(e -> port.engineState(e.id()).equals("live"));
    }

    private OperatorPort operators(FleetRouter router) {
        return new OperatorPort(calls, router.operators());
    }

    private FleetRouter launch(String id, String domain) {
        RouterPorts ports = RouterPorts.of(ServerPorts.choose(RouterPorts.COUNT));
        InetSocketAddress platform =
                bed.proxy().addOnce(RouterLauncher.platformRoute(id), bed.platform());
        InetSocketAddress peers = bed.proxy().addOnce("peer-" + id, ports.peers());
        return new FleetRouter(processes, id, domain, ports, platform, peers);
    }

    private static InstanceListClient.Entry entry(FleetRouter router) {
        return new InstanceListClient.Entry(
                "router", router.id(), router.domain(), "routers", router.advertised());
    }
}
