package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.List;
import org.masticweir.http.IpAddress;

/** A router of a fleet, which can be killed and started again at its addresses. */
final class FleetRouter {
    static final int PORTS = 3;

    /** How long a request goes on without a caller; longer than any test's caller stays away. */
    static final long ORPHAN_MS = 8_000;

    private static final int HEAP_MB = 96;
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
            """;

    private final Processes processes;
    private final String id;
    private final String domain;
    private final ImmutableList<Integer> ports;
    private final InetSocketAddress platform;
    private final InetSocketAddress advertised;
    private ChildProcess process;
    private boolean paused;

    /**
     * Starts a router; it is not ready yet.
     *
     * @param ports of callers, operators and peers
     * @param platform where the router reaches the platform
     * @param advertised where other routers reach it
     */
    FleetRouter(
            Processes processes,
            String id,
            String domain,
            List<Integer> ports,
            InetSocketAddress platform,
            InetSocketAddress advertised) {
        this.processes = checkNotNull(processes, "processes");
        this.id = checkNotNull(id, "id");
        this.domain = checkNotNull(domain, "domain");
        this.ports = ImmutableList.copyOf(ports);
        this.platform = checkNotNull(platform, "platform");
        this.advertised = checkNotNull(advertised, "advertised");
        process = launch();
    }

    String id() {
        return id;
    }

    String domain() {
        return domain;
    }

    InetSocketAddress callers() {
        return loopback(ports.get(0));
    }

    InetSocketAddress operators() {
        return loopback(ports.get(1));
    }

    /** Returns where other routers reach it. */
    InetSocketAddress advertised() {
        return advertised;
    }

    boolean runs() {
        return process.alive() && !paused;
    }

    /** Ends the process at once, as a power cut would. */
    void kill() {
        process.kill();
    }

    /** Stops the process from running, with its connections left open. */
    void pause() {
        process.pause();
        paused = true;
    }

    void resume() {
        process.resume();
        paused = false;
    }

    /** Lets the process run again, or starts it anew if it was killed. */
    void heal() {
        if (!process.alive()) {
            process = launch();
            paused = false;
        } else if (paused) {
            resume();
        }
    }

    void awaitReady() {
        process.awaitAddress();
    }

    @Override
    public String toString() {
        return id;
    }

    private ChildProcess launch() {
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
                        ORPHAN_MS);
        return processes.router(id, HEAP_MB, settings);
    }

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddresses.forString("127.0.0.1"), port);
    }
}
