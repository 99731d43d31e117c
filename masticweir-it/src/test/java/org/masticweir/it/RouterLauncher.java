package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticweir.http.IpAddress;

/** Starts routers whose links to the platform and to each other pass through the proxy. */
final class RouterLauncher {
    private static final int HEAP_MB = 128;
    private static final int PORTS = 3;
    private static final int TRIES = 3;
    private static final int EXIT_PORT_IN_USE = 2;
    private static final long READY_BOUND_MS = 20_000;
    private static final String SETTINGS =
            """
            [router]
            id = %s
            domain = %s
            caller_address = %s
            operator_address = %s
            peer_address = %s
            advertised_peer_address = %s
            [platform]
            address = %s
            config_poll_ms = 200
            instances_poll_ms = 200
            [callers]
            orphan_ms = %d
            [shutdown]
            balancer_lag_ms = %d
            """;

    private final Processes processes;
    private final ProxyControl proxy;
    private final PlatformClient instances;
    private final InetSocketAddress platform;
    private final AtomicInteger routes = new AtomicInteger();

    RouterLauncher(
            Processes processes,
            ProxyControl proxy,
            PlatformClient instances,
            InetSocketAddress platform) {
        this.processes = checkNotNull(processes, "processes");
        this.proxy = checkNotNull(proxy, "proxy");
        this.instances = checkNotNull(instances, "instances");
        this.platform = checkNotNull(platform, "platform");
    }

    /** A router to start. */
    record Spec(String id, String domain) {}

    /** Starts routers that know each other; their ports are taken anew when one was in use. */
    ImmutableList<RouterProcess> start(List<Spec> specs) {
        for (int i = 0; i < TRIES; i++) {
            ImmutableList<Integer> ports = Processes.freePorts(PORTS * specs.size());
            ImmutableList<RouterProcess> routers = launchAll(specs, ports);
            if (allReady(routers)) {
                routers.forEach(instances::announceRouter);
                return routers;
            }
            routers.forEach(r -> r.process().kill());
        }
        throw new AssertionError(
                "ended with code " + EXIT_PORT_IN_USE + " at each try, see the logs: " + specs);
    }

    /** Returns the name of the route by which router {@code id} reaches the platform. */
    static String platformRoute(String id) {
        return "platform-" + id;
    }

    private static boolean allReady(List<RouterProcess> routers) {
        CompletableFuture<?>[] ready =
                routers.stream().map(r -> r.process().ready()).toArray(CompletableFuture<?>[]::new);
        try {
            CompletableFuture.allOf(ready)
                    .orTimeout(READY_BOUND_MS, java.util.concurrent.TimeUnit.MILLISECONDS)
                    .join();
            return true;
        } catch (CompletionException e) {
            if (e.getCause() instanceof ChildProcess.EndedEarly ended
                    && ended.exitCode() == EXIT_PORT_IN_USE) {
                return false;
            }
            throw e;
        }
    }

    private ImmutableList<RouterProcess> launchAll(List<Spec> specs, List<Integer> ports) {
        ImmutableList.Builder<RouterProcess> routers = ImmutableList.builder();
        for (int i = 0; i < specs.size(); i++) {
            routers.add(launch(specs.get(i), ports.subList(PORTS * i, PORTS * i + PORTS)));
        }
        return routers.build();
    }

    private RouterProcess launch(Spec spec, List<Integer> ports) {
        InetSocketAddress callers = loopback(ports.get(0));
        InetSocketAddress operators = loopback(ports.get(1));
        InetSocketAddress peers = loopback(ports.get(2));
        String route = "peer-" + spec.id() + "-" + routes.incrementAndGet();
        InetSocketAddress throughProxy = proxy.add(route, peers);
        String settings =
                String.format(
                        SETTINGS,
                        spec.id(),
                        spec.domain(),
                        IpAddress.text(callers),
                        IpAddress.text(operators),
                        IpAddress.text(peers),
                        IpAddress.text(throughProxy),
                        IpAddress.text(platformOf(spec)),
                        TestBed.ORPHAN_MS,
                        TestBed.BALANCER_LAG_MS);
        ChildProcess process = processes.router(spec.id(), HEAP_MB, settings);
        return new RouterProcess(
                spec.id(), spec.domain(), process, callers, operators, throughProxy);
    }

    private InetSocketAddress platformOf(Spec spec) {
        String name = platformRoute(spec.id());
        return proxy.addOnce(name, platform);
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddresses.forString("127.0.0.1"), port);
    }
}
