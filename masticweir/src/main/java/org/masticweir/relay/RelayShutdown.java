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
 * served but streams, which would be cut off in their middle at the end; their callers are sent to
 * another router while they have all their time left.
 */
final class RelayShutdown {
    private static final Logger LOG = LogManager.getLogger(RelayShutdown.class);

    /** Time until the balancer has taken this router out, in ms: two of its questions, and one. */
    private static final long BALANCER_MS = 3_000;

    /**
     * Part of the time of grace after which a new stream might not end before the process has to. A
     * stream of 140 events takes 5.7 s as a rule, of 8 s.
     */
    private static final int STREAMS_PART = 4;

    /** What is left of the time of grace for closing, in ms; closing takes some 10 ms. */
    private static final long RESERVE_MS = 150;

    private static final long LOOK_EVERY_MS = 50;

    private final RequestCount underWay;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final long graceMs;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private boolean started;

    RelayShutdown(
            RequestCount underWay, ScheduledExecutorService control, Clock clock, long graceMs) {
        checkArgument(graceMs >= 0, "grace of %s ms", graceMs);
        this.underWay = checkNotNull(underWay, "underWay");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.graceMs = graceMs;
    }

    /** Starts it, once; the future completes when nothing is under way or the time is over. */
    synchronized CompletableFuture<Void> start() {
        if (!started) {
            started = true;
            LOG.info("router: leaving, {} requests under way", underWay.get());
            underWay.leave();
            long beganMs = clock.nowMs();
            control.schedule(
                    underWay::closeToStreams, graceMs / STREAMS_PART, TimeUnit.MILLISECONDS);
            control.schedule(() -> look(beganMs), BALANCER_MS, TimeUnit.MILLISECONDS);
        }
        return done;
    }

    /** Completes as the future that {@link #start} returns does; starts nothing. */
    CompletableFuture<Void> done() {
        return done.copy();
    }

    private void look(long beganMs) {
        int left = underWay.get();
        long passedMs = clock.nowMs() - beganMs;
        if (left == 0 || passedMs >= graceMs - RESERVE_MS) {
            LOG.info("router: left after {} ms, {} requests cut off", passedMs, left);
            done.complete(null);
            return;
        }
        control.schedule(() -> look(beganMs), LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
    }
}
