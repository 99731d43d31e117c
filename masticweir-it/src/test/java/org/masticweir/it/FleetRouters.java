package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.masticweir.bench.BenchWorker;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.xnio.XnioWorker;

/**
 * Routers that know each other, over the platform and back ends of a test bed of their own.
 *
 * <p>They reach the platform and each other through the bed's proxy. Used by one test at a time.
 */
final class FleetRouters implements AutoCloseable {
    private static final long SERVING_BOUND_MS = 20_000;

    private final TestBed bed;
    private final XnioWorker worker = BenchWorker.start(1);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final Processes processes;
    private final ImmutableList<FleetRouter> routers;

    private FleetRouters(TestBed bed, String logs, List<RouterLauncher.Spec> specs) {
        this.bed = checkNotNull(bed, "bed");
        processes = Processes.inNew(logs);
        try {
            routers = specs.stream().map(this::launch).collect(ImmutableList.toImmutableList());
            InstanceListClient list = new InstanceListClient(calls, bed.platform());
            routers.forEach(r -> list.put(entry(r), "live"));
            awaitServing();
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /** Starts a bed and the routers, and returns once all see each other and all back ends. */
    static FleetRouters start(String logs, List<RouterLauncher.Spec> specs) {
        TestBed bed = TestBed.startWithoutRouters();
        try {
            return new FleetRouters(bed, logs, specs);
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

    /** Returns the routers in the order in which they were named. */
    ImmutableList<FleetRouter> all() {
        return routers;
    }

    OperatorPort operators(FleetRouter router) {
        return new OperatorPort(calls, router.operators());
    }

    /** Returns the name of the route by which other routers reach {@code router}. */
    static String peerRoute(String router) {
        return "peer-" + router;
    }

    /** Ends every fault and returns once all routers see each other and all back ends. */
    void heal() {
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
            OperatorPort port = operators(router);
            Await.until(
                    "all routers serving, as " + router + " sees it",
                    SERVING_BOUND_MS,
                    () -> seesAllServing(router, port));
            Await.until(
                    "all back ends live at " + router, SERVING_BOUND_MS, () -> seesAllLive(port));
        }
    }

    private boolean seesAllServing(FleetRouter router, OperatorPort port) {
        return port.status().path("state").asText().equals("serving")
                && routers.stream()
                        .filter(r -> r != router)
                        .allMatch(r -> port.stateOf(r.id()).equals("serving"));
    }

    private boolean seesAllLive(OperatorPort port) {
        return Stream.concat(bed.engines().stream(), bed.services().stream())
                .allMatch(b -> port.engineState(b.id()).equals("live"));
    }

    private FleetRouter launch(RouterLauncher.Spec spec) {
        RouterPorts ports = RouterPorts.of(ServerPorts.choose(RouterPorts.COUNT));
        InetSocketAddress platform =
                bed.proxy().addOnce(RouterLauncher.platformRoute(spec.id()), bed.platform());
        InetSocketAddress peers = bed.proxy().addOnce(peerRoute(spec.id()), ports.peers());
        return new FleetRouter(processes, spec.id(), spec.domain(), ports, platform, peers);
    }

    private static InstanceListClient.Entry entry(FleetRouter router) {
        return new InstanceListClient.Entry(
                "router", router.id(), router.domain(), "", router.advertised());
    }
}
