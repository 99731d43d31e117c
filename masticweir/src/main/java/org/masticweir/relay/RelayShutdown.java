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
 * Takes a router out of service within its time of grace; thread-safe.
 *
 * <p>The balancer is told first. It goes on sending for a few seconds, in which everything is
 * served that can end in time. What is left shortly before the end gets an error as its answer; a
 * stream that has begun is broken off.
 */
final class RelayShutdown {
    private static final Logger LOG = LogManager.getLogger(RelayShutdown.class);

    /** What is left of the time of grace for closing, in ms. */
    private static final long CLOSE_RESERVE_MS = 200;

    /** Time for a late thread to write the last answers, before that, in ms. */
    private static final long LAST_ANSWERS_MS = 300;

    /**
     * Time after which the balancer sends new connections elsewhere, in ms: two questions a second
     * apart, and their way. Closed sooner, callers would come back here.
     */
    private static final long BALANCER_REACTION_MS = 2_200;

    private static final long CHECK_INTERVAL_MS = 50;

    private final DrainingAdmission intake;
    private final Runnable closeIdle;
    private final Runnable endRequests;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final long graceMs;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private boolean started;

    /**
     * Creates it; nothing begins before {@link #start}.
     *
     * @param closeIdle closes the connections of callers that wait for a next request
     * @param endRequests ends the requests that are under way, each with an answer
     */
    RelayShutdown(
            DrainingAdmission intake,
            Runnable closeIdle,
            Runnable endRequests,
            ScheduledExecutorService control,
            Clock clock,
            long graceMs) {
        checkArgument(graceMs >= 0, "grace of %s ms", graceMs);
        this.intake = checkNotNull(intake, "intake");
        this.closeIdle = checkNotNull(closeIdle, "closeIdle");
        this.endRequests = checkNotNull(endRequests, "endRequests");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.graceMs = graceMs;
    }

    /**
     * Starts it, once; the future completes when nothing is under way or the time is over.
     *
     * @param sinceMs when the order to leave came, from which the time of grace counts
     */
    synchronized CompletableFuture<Void> start(long sinceMs) {
        if (!started) {
            started = true;
            long now = clock.nowMs();
            LOG.info(
                    "router: leaving, told {} ms ago, {} requests under way",
                    now - sinceMs,
                    intake.inFlightCount());
            long endsMs = sinceMs + Math.max(0, graceMs - CLOSE_RESERVE_MS - LAST_ANSWERS_MS);
            intake.startDraining(sinceMs, endsMs);
            runAt(Math.min(sinceMs + BALANCER_REACTION_MS, endsMs), closeIdle);
            // Before the first look: a late thread must not close over requests without an answer.
            runAt(endsMs, this::endRequests);
            runAt(
                    Math.min(sinceMs + DrainingAdmission.BALANCER_DETECTION_MS, endsMs),
                    () -> check(sinceMs));
        }
        return done;
    }

    /** Completes as the future that {@link #start} returns does; starts nothing. */
    CompletableFuture<Void> done() {
        return done.copy();
    }

    private void endRequests() {
        if (!done.isDone()) {
            LOG.info("router: the time to leave is over, {} requests left", intake.inFlightCount());
            intake.close();
            endRequests.run();
        }
    }

    private void check(long sinceMs) {
        int left = intake.inFlightCount();
        if (left == 0) {
            // Before the last look: what came in between is refused, not cut off.
            intake.close();
            left = intake.inFlightCount();
        }
        long passedMs = clock.nowMs() - sinceMs;
        if (left == 0 || passedMs >= graceMs - CLOSE_RESERVE_MS) {
            LOG.info("router: left after {} ms, {} requests cut off", passedMs, left);
            done.complete(null);
            return;
        }
        runAt(clock.nowMs() + CHECK_INTERVAL_MS, () -> check(sinceMs));
    }

    private void runAt(long ms, Runnable step) {
        control.schedule(step, Math.max(0, ms - clock.nowMs()), TimeUnit.MILLISECONDS);
    }
}
