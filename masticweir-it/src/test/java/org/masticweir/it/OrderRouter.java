package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.List;
import org.masticweir.http.IpAddress;

/** A router of an {@link OrderBed}, whose link to the platform is its own route of the proxy. */
final class OrderRouter {
    /** How long nothing declares a version before it is unloaded. */
    static final long UNLOAD_AFTER_MS = 3_000;

    /** How long the load that a lost holder left counts as under way. */
    static final long LOAD_TIMEOUT_MS = 20_000;

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
            [platform]
            address = %s
            [callers]
            orphan_ms = 1000
            [control]
            unload_after_ms = %d
            load_timeout_ms = %d
            """;

    private final Processes processes;
    private final String id;
    private final List<Integer> ports;
    private final InetSocketAddress platform;
    private ChildProcess process;

    private OrderRouter(
            Processes processes, ProxyControl proxy, InetSocketAddress platform, String id) {
        this.processes = checkNotNull(processes, "processes");
        this.id = checkNotNull(id, "id");
        ports = ServerPorts.choose(PORTS);
        this.platform = proxy.add("platform-" + id, platform);
    }

    /** Takes ports and a route for a router; nothing runs before {@link #start}. */
    static OrderRouter create(
            Processes processes, ProxyControl proxy, InetSocketAddress platform, String id) {
        return new OrderRouter(processes, proxy, platform, id);
    }

    /** Starts the process; it is not ready yet. */
    void start() {
        String settings =
                String.format(
                        SETTINGS,
                        id,
                        OrderBed.DOMAIN,
                        IpAddress.text(callers()),
                        IpAddress.text(operators()),
                        IpAddress.text(peers()),
                        IpAddress.text(platform),
                        UNLOAD_AFTER_MS,
                        LOAD_TIMEOUT_MS);
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
        return loopback(ports.get(0));
    }

    InetSocketAddress operators() {
        return loopback(ports.get(1));
    }

    /** Returns the row of the instance list that names this router. */
    InstanceListClient.Entry entry() {
        return new InstanceListClient.Entry("router", id, OrderBed.DOMAIN, "", peers());
    }

    @Override
    public String toString() {
        return id;
    }

    private InetSocketAddress peers() {
        return loopback(ports.get(2));
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddresses.forString("127.0.0.1"), port);
    }
}
