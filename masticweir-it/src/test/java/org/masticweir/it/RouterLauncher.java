package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

/** Starts routers whose links to the platform and to each other pass through the proxy. */
final class RouterLauncher {
    private static final int HEAP_MB = 128;
    private static final int TRIES = 3;
    private static final int EXIT_PORT_IN_USE = 2;
    private static final long READY_BOUND_MS = 20_000;
    private static final String SETTINGS =
            """
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
            ImmutableList<Integer> ports = ServerPorts.choose(RouterPorts.COUNT * specs.size());
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
            int first = RouterPorts.COUNT * i;
            List<Integer> own = ports.subList(first, first + RouterPorts.COUNT);
            routers.add(launch(specs.get(i), RouterPorts.of(own)));
        }
        return routers.build();
    }

    private RouterProcess launch(Spec spec, RouterPorts ports) {
        String route = "peer-" + spec.id() + "-" + routes.incrementAndGet();
        InetSocketAddress advertised = proxy.add(route, ports.peers());
        String more = String.format(SETTINGS, TestBed.ORPHAN_MS, TestBed.BALANCER_LAG_MS);
        String settings =
                RouterIni.of(spec.id(), spec.domain(), ports, advertised, platformOf(spec), more);
        ChildProcess process = processes.router(spec.id(), HEAP_MB, settings);
        return new RouterProcess(
                spec.id(), spec.domain(), process, ports.callers(), ports.operators(), advertised);
    }

    private InetSocketAddress platformOf(Spec spec) {
        String name = platformRoute(spec.id());
        return proxy.addOnce(name, platform);
    }
}
