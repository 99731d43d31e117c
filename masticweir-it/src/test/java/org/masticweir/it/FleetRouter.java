package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/** A router of a fleet, which can be killed and started again at its addresses. */
final class FleetRouter {
    /** How long a request goes on without a caller; longer than any test's caller stays away. */
    static final long ORPHAN_MS = 8_000;

    private static final int HEAP_MB = 96;
    private static final String SETTINGS =
            """
            config_poll_ms = 200
            instances_poll_ms = 200
            [callers]
            orphan_ms = %d
            """;

    private final Processes processes;
    private final String id;
    private final String domain;
    private final RouterPorts ports;
    private final InetSocketAddress platform;
    private final InetSocketAddress advertised;
    private volatile ChildProcess process;
    private boolean paused;

    /**
     * Starts a router; it is not ready yet.
     *
     * @param platform where the router reaches the platform
     * @param advertised where other routers reach it
     */
    FleetRouter(
            Processes processes,
            String id,
            String domain,
            RouterPorts ports,
            InetSocketAddress platform,
            InetSocketAddress advertised) {
        this.processes = checkNotNull(processes, "processes");
        this.id = checkNotNull(id, "id");
        this.domain = checkNotNull(domain, "domain");
        this.ports = checkNotNull(ports, "ports");
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
        return ports.callers();
    }

    InetSocketAddress operators() {
        return ports.operators();
    }

    /** Returns where other routers reach it. */
    InetSocketAddress advertised() {
        return advertised;
    }

    /** Returns the id of the process that is the router now. */
    long pid() {
        return process.pid();
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
        String more = String.format(SETTINGS, ORPHAN_MS);
        String settings = RouterIni.of(id, domain, ports, advertised, platform, more);
        return processes.router(id, HEAP_MB, settings);
    }
}
