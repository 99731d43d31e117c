package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Rendezvous;
import org.xnio.XnioWorker;

/**
 * Four routers of one domain, of which one may write the claims of all, started for one test.
 *
 * <p>Routers reach the platform and each other through the proxy of a {@link TestBed}.
 */
final class ClaimWriterBed implements AutoCloseable {
    private static final int ROUTERS = 4;
    private static final int HEAP_MB = 96;
    private static final long READY_BOUND_MS = 30_000;
    private static final String DOMAIN = "a";
    private static final String SETTINGS =
            """
            config_poll_ms = 200
            instances_poll_ms = 200
            [claims]
            share_above = %d
            """;

    private final TestBed bed = TestBed.startWithoutRouters();
    private final XnioWorker worker = BenchWorker.start(1);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final Processes processes = Processes.inNew("claim-writer-bed");
    private final ImmutableList<Node> routers;

    private ClaimWriterBed(int shareAbove) {
        try {
            ImmutableList<Integer> ports = ServerPorts.choose(ROUTERS * RouterPorts.COUNT);
            routers =
                    IntStream.range(0, ROUTERS)
                            .mapToObj(i -> launch(i, ports, shareAbove))
                            .collect(ImmutableList.toImmutableList());
            routers.forEach(r -> r.process.awaitAddress());
            Await.until("all see each other", READY_BOUND_MS, this::settled);
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /** One router and where it is reached. */
    record Node(String id, ChildProcess process, RouterPorts ports) {}

    /** Starts all processes and returns once the routers see each other and the back ends. */
    static ClaimWriterBed sharingAbove(int routers) {
        return new ClaimWriterBed(routers);
    }

    TestBed bed() {
        return bed;
    }

    /** Returns the router that writes for all. */
    Node writer() {
        return routers.stream().max(Comparator.comparingLong(ClaimWriterBed::rank)).orElseThrow();
    }

    /** Returns the routers that do not write for all. */
    ImmutableList<Node> others() {
        Node writer = writer();
        return routers.stream().filter(r -> r != writer).collect(ImmutableList.toImmutableList());
    }

    RunningCall submit(Node router, CallRequest request) {
        return RunningCall.submit(bed.caller(), router.ports.callers(), request);
    }

    /** Sets the mode between the platform and {@code router}. */
    void toPlatform(Node router, String mode) {
        bed.proxy().set(RouterLauncher.platformRoute(router.id), mode);
    }

    /** Returns how many writes the platform took so far. */
    long platformWrites() {
        return bed.control().records(bed.platform()).path("writes").asLong();
    }

    @Override
    public void close() {
        processes.close();
        calls.close();
        worker.shutdownNow();
        bed.close();
    }

    private static long rank(Node router) {
        return Rendezvous.weight("claims", RouterId.of(router.id));
    }

    private boolean settled() {
        int backEnds = bed.engines().size() + bed.services().size();
        return routers.stream()
                .allMatch(
                        r -> {
                            OperatorPort port = new OperatorPort(calls, r.ports.operators());
                            return seesOthers(port, r) && liveBackEnds(port) == backEnds;
                        });
    }

    private boolean seesOthers(OperatorPort port, Node router) {
        return routers.stream()
                .filter(r -> r != router)
                .allMatch(r -> port.stateOf(r.id).equals("serving"));
    }

    private long liveBackEnds(OperatorPort port) {
        return Stream.concat(bed.engines().stream(), bed.services().stream())
                .filter(e -> port.engineState(e.id()).equals("live"))
                .count();
    }

    private Node launch(int i, ImmutableList<Integer> numbers, int shareAbove) {
        String id = "n" + (i + 1);
        int first = RouterPorts.COUNT * i;
        RouterPorts ports = RouterPorts.of(numbers.subList(first, first + RouterPorts.COUNT));
        InetSocketAddress platform =
                bed.proxy().addOnce(RouterLauncher.platformRoute(id), bed.platform());
        InetSocketAddress advertised = bed.proxy().addOnce("peer-" + id, ports.peers());
        InstanceListClient.Entry entry =
                new InstanceListClient.Entry("router", id, DOMAIN, "", advertised);
        new InstanceListClient(calls, bed.platform()).put(entry, "live");
        String more = String.format(SETTINGS, shareAbove);
        String settings = RouterIni.of(id, DOMAIN, ports, advertised, platform, more);
        return new Node(id, processes.router(id, HEAP_MB, settings), ports);
    }
}
