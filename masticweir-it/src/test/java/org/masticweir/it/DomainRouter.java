package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/**
 * A router that can be ended and started again under its id, its links all behind the proxy.
 *
 * <p>Peers reach it by a route of the proxy, whose address it tells them.
 */
final class DomainRouter {
    /** Time that a leaving router still takes requests. */
    static final long BALANCER_LAG_MS = 1_500;

    private static final int HEAP_MB = 96;
    private static final String SETTINGS =
            """
            [callers]
            orphan_ms = 1000
            [config]
            domain_wait_ms = 1500
            [shutdown]
            balancer_lag_ms = %d
            """;

    private final Processes processes;
    private final String id;
    private final String domain;
    private final RouterPorts ports;
    private final InetSocketAddress advertised;
    private final InetSocketAddress platform;
    private ChildProcess process;

    private DomainRouter(
            Processes processes,
            ProxyControl proxy,
            InetSocketAddress platform,
            String id,
            String domain) {
        this.processes = checkNotNull(processes, "processes");
        this.id = checkNotNull(id, "id");
        this.domain = checkNotNull(domain, "domain");
        ports = RouterPorts.of(ServerPorts.choose(RouterPorts.COUNT));
        advertised = proxy.add(peerRoute(id), ports.peers());
        this.platform = proxy.add(platformRoute(id), platform);
    }

    /** Takes ports and routes for a router; nothing runs before {@link #start}. */
    static DomainRouter create(
            Processes processes,
            ProxyControl proxy,
            InetSocketAddress platform,
            String id,
            String domain) {
        return new DomainRouter(processes, proxy, platform, id, domain);
    }

    /** Returns the name of the route by which peers reach router {@code id}. */
    static String peerRoute(String id) {
        return "peer-" + id;
    }

    /** Returns the name of the route by which router {@code id} reaches the platform. */
    static String platformRoute(String id) {
        return "platform-" + id;
    }

    /** Starts the process; it is not ready yet. */
    void start() {
        String more = String.format(SETTINGS, BALANCER_LAG_MS);
        String settings = RouterIni.of(id, domain, ports, advertised, platform, more);
        process = processes.router(id, HEAP_MB, settings);
    }

    String id() {
        return id;
    }

    String domain() {
        return domain;
    }

    ChildProcess process() {
        return process;
    }

    InetSocketAddress callers() {
        return ports.callers();
    }

    InetSocketAddress operators() {
        return ports.operators();
    }

    /** Returns the row of the instance list that names this router. */
    InstanceListClient.Entry entry() {
        return new InstanceListClient.Entry("router", id, domain, "", advertised);
    }

    @Override
    public String toString() {
        return id;
    }
}
