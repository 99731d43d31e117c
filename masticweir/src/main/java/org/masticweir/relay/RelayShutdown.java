package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.time.Clock;

/**
 * Takes a router out of service without cutting off a request; thread-safe.
 *
 * <p>The balancer is told first. It goes on sending for a few seconds, in which everything is
 * served that can end in time.
 */
final class RelayShutdown {
    private static final Logger LOG = LogManager.getLogger(RelayShutdown.class);

    /** What is left of the time of grace for closing, in ms; closing takes some 10 ms. */
    private static final long RESERVE_MS = 150;

    private static final long LOOK_EVERY_MS = 50;

    private final RelayIntake intake;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final long graceMs;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private boolean started;

    RelayShutdown(RelayIntake intake, ScheduledExecutorService control, Clock clock, long graceMs) {
        checkArgument(graceMs >= 0, "grace of %s ms", graceMs);
        this.intake = checkNotNull(intake, "intake");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.graceMs = graceMs;
    }

    /** Starts it, once; the future completes when nothing is under way or the time is over. */
    synchronized CompletableFuture<Void> start() {
        if (!started) {
            started = true;
            LOG.info("router: leaving, {} requests under way", intake.underWay());
            long beganMs = clock.nowMs();
            intake.leave(beganMs, beganMs + Math.max(0, graceMs - RESERVE_MS));
            control.schedule(() -> look(beganMs), RelayIntake.BALANCER_MS, TimeUnit.MILLISECONDS);
        }
        return done;
    }

    /** Completes as the future that {@link #start} returns does; starts nothing. */
    CompletableFuture<Void> done() {
        return done.copy();
    }

    private void look(long beganMs) {
        int left = intake.underWay();
        if (left == 0) {
            // Before the last look: what came in between is refused, not cut off.
            intake.close();
            left = intake.underWay();
        }
        long passedMs = clock.nowMs() - beganMs;
        if (left == 0 || passedMs >= graceMs - RESERVE_MS) {
            LOG.info("router: left after {} ms, {} requests cut off", passedMs, left);
            done.complete(null);
            return;
        }
        control.schedule(() -> look(beganMs), LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
    }
}
