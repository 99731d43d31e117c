package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.List;
import org.masticweir.http.IpAddress;

/**
 * A router that can be ended and started again under its id, its links all behind the proxy.
 *
 * <p>Peers reach it by a route of the proxy, whose address it tells them.
 */
final class DomainRouter {
    /** Time that a leaving router still takes requests. */
    static final long BALANCER_LAG_MS = 1_500;

    private static final int HEAP_MB = 96;
    private static final int PORTS = 3;
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
    private final List<Integer> ports;
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
        ports = ServerPorts.choose(PORTS);
        advertised = proxy.add(peerRoute(id), loopback(ports.get(2)));
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
        String settings =
                String.format(
                        SETTINGS,
                        id,
                        domain,
                        IpAddress.text(callers()),
                        IpAddress.text(operators()),
                        IpAddress.text(loopback(ports.get(2))),
                        IpAddress.text(advertised),
                        IpAddress.text(platform),
                        BALANCER_LAG_MS);
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
        return loopback(ports.get(0));
    }

    InetSocketAddress operators() {
        return loopback(ports.get(1));
    }

    /** Returns the row of the instance list that names this router. */
    InstanceListClient.Entry entry() {
        return new InstanceListClient.Entry("router", id, domain, "", advertised);
    }

    @Override
    public String toString() {
        return id;
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddresses.forString("127.0.0.1"), port);
    }
}
