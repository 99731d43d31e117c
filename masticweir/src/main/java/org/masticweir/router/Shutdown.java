package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.serving.Intake;
import org.masticweir.serving.RequestRegistry;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.time.Clock;

/**
 * Takes a router out of service without cutting off a request.
 *
 * <p>The balancer is told first and its lag waited out, since it goes on sending for that long;
 * then new requests are refused and those under way are finished, and the lease on the domain's
 * engines is handed back. Thread-safe.
 */
final class Shutdown {
    private static final Logger LOG = LogManager.getLogger(Shutdown.class);
    private static final long LOOK_EVERY_MS = 50;
    private static final long HAND_BACK_MS = 1_000;

    private final DaemonSettings.Shutdown settings;
    private final ControlLoop control;
    private final RequestRegistry registry;
    private final Clock clock;
    private final Supplier<CompletableFuture<Void>> handBack;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private boolean started;

    Shutdown(
            DaemonSettings.Shutdown settings,
            ControlLoop control,
            RequestRegistry registry,
            Clock clock,
            Supplier<CompletableFuture<Void>> handBack) {
        this.settings = checkNotNull(settings, "settings");
        this.control = checkNotNull(control, "control");
        this.registry = checkNotNull(registry, "registry");
        this.clock = checkNotNull(clock, "clock");
        this.handBack = checkNotNull(handBack, "handBack");
    }

    /** Starts it, once; the future completes when nothing is under way or the bound is over. */
    synchronized CompletableFuture<Void> start() {
        if (!started) {
            started = true;
            LOG.info("router: leaving, {} requests under way", registry.unfinished());
            control.intake(Intake.LEAVING);
            executor().schedule(this::close, settings.balancerLagMs(), TimeUnit.MILLISECONDS);
        }
        return drained;
    }

    /** Completes as the future that {@link #start} returns does; starts nothing. */
    CompletableFuture<Void> drained() {
        return drained.copy();
    }

    private void close() {
        control.intake(Intake.CLOSED);
        look(clock.nowMs() + settings.drainMs());
    }

    private void look(long untilMs) {
        int left = registry.busy();
        if (left == 0 || clock.nowMs() >= untilMs) {
            LOG.info("router: left, {} requests cut off", left);
            // The table may be out: a lease that cannot be handed back lapses by itself.
            handBack.get()
                    .orTimeout(HAND_BACK_MS, TimeUnit.MILLISECONDS)
                    .whenComplete((done, failure) -> drained.complete(null));
            return;
        }
        executor().schedule(() -> look(untilMs), LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    private ScheduledExecutorService executor() {
        return control.executor();
    }
}
