package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/** A router of an {@link OrderBed}, whose link to the platform is its own route of the proxy. */
final class OrderRouter {
    /** How long nothing declares a version before it is unloaded. */
    static final long UNLOAD_AFTER_MS = 3_000;

    /** How long the load that a lost holder left counts as under way. */
    static final long LOAD_TIMEOUT_MS = 20_000;

    private static final int HEAP_MB = 96;
    private static final String SETTINGS =
            """
            [callers]
            orphan_ms = 1000
            [control]
            unload_after_ms = %d
            load_timeout_ms = %d
            """;

    private final Processes processes;
    private final String id;
    private final RouterPorts ports;
    private final InetSocketAddress platform;
    private ChildProcess process;

    private OrderRouter(
            Processes processes, ProxyControl proxy, InetSocketAddress platform, String id) {
        this.processes = checkNotNull(processes, "processes");
        this.id = checkNotNull(id, "id");
        ports = RouterPorts.of(ServerPorts.choose(RouterPorts.COUNT));
        this.platform = proxy.add("platform-" + id, platform);
    }

    /** Takes ports and a route for a router; nothing runs before {@link #start}. */
    static OrderRouter create(
            Processes processes, ProxyControl proxy, InetSocketAddress platform, String id) {
        return new OrderRouter(processes, proxy, platform, id);
    }

    /** Starts the process; it is not ready yet. */
    void start() {
        String more = String.format(SETTINGS, UNLOAD_AFTER_MS, LOAD_TIMEOUT_MS);
        String settings = RouterIni.of(id, OrderBed.DOMAIN, ports, ports.peers(), platform, more);
        process = processes.router(id, HEAP_MB, settings);
    }

    String id() {
        return id;
    }

    ChildProcess process() {
        return process;
    }

    /** Returns the name of the route by which this router reaches the platform. */
    String platformRoute() {
        return "platform-" + id;
    }

    InetSocketAddress callers() {
        return ports.callers();
    }

    InetSocketAddress operators() {
        return ports.operators();
    }

    /** Returns the row of the instance list that names this router. */
    InstanceListClient.Entry entry() {
        return new InstanceListClient.Entry("router", id, OrderBed.DOMAIN, "", ports.peers());
    }

    @Override
    public String toString() {
        return id;
    }
}
