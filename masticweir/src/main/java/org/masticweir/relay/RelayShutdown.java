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
 * Graceful shutdown of a router within its grace period; thread-safe.
 *
 * <p>The balancer's readiness check fails first. The balancer still sends requests for a few
 * seconds, and the router serves every request that can end in time. Shortly before the end, each
 * remaining request is answered with an error; a stream that has begun is interrupted.
 */
final class RelayShutdown {
    private static final Logger LOG = LogManager.getLogger(RelayShutdown.class);

    /** Part of the grace period reserved for closing, in ms. */
    private static final long CLOSE_RESERVE_MS = 200;

    /**
     * Part of the grace period, before {@link #CLOSE_RESERVE_MS}, in which a late thread can still
     * write the last answers, in ms.
     */
    private static final long LAST_ANSWERS_MS = 300;

    /**
     * Time after which the balancer sends new connections to other routers, in ms: two readiness
     * checks one second apart, and their latency. If idle connections were closed earlier, callers
     * would reconnect to this router.
     */
    private static final long BALANCER_REACTION_MS = 2_200;

    private static final long CHECK_INTERVAL_MS = 50;

    private final DrainingAdmission admission;
    private final Runnable closeIdleConnections;
    private final Runnable endRequests;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final long graceMs;
    private final CompletableFuture<Void> shutdownFuture = new CompletableFuture<>();
    private boolean isStarted;

    /**
     * Creates a shutdown that begins with {@link #start}.
     *
     * @param closeIdleConnections closes the idle connections of callers
     * @param endRequests ends the requests in flight, each with an answer
     */
    RelayShutdown(
            DrainingAdmission admission,
            Runnable closeIdleConnections,
            Runnable endRequests,
            ScheduledExecutorService control,
            Clock clock,
            long graceMs) {
        checkArgument(graceMs >= 0, "grace period of %s ms", graceMs);
        this.admission = checkNotNull(admission, "admission");
        this.closeIdleConnections = checkNotNull(closeIdleConnections, "closeIdleConnections");
        this.endRequests = checkNotNull(endRequests, "endRequests");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.graceMs = graceMs;
    }

    /**
     * Starts the shutdown, once; the future completes when no request is in flight or the grace
     * period is over.
     *
     * @param sinceMs time of the shutdown request, at which the grace period begins
     */
    synchronized CompletableFuture<Void> start(long sinceMs) {
        if (!isStarted) {
            isStarted = true;
            long now = clock.nowMs();
            LOG.info(
                    "router: leaving, told {} ms ago, {} requests under way",
                    now - sinceMs,
                    admission.inFlightCount());
            long endsMs = sinceMs + Math.max(0, graceMs - CLOSE_RESERVE_MS - LAST_ANSWERS_MS);
            admission.startDraining(sinceMs, endsMs);
            runAt(Math.min(sinceMs + BALANCER_REACTION_MS, endsMs), closeIdleConnections);
            // Scheduled before the first check: on a late thread, the check must not complete the
            // shutdown while requests have no answer.
            runAt(endsMs, this::endRequests);
            runAt(
                    Math.min(sinceMs + DrainingAdmission.BALANCER_DETECTION_MS, endsMs),
                    () -> checkCompletion(sinceMs));
        }
        return shutdownFuture;
    }

    /**
     * Returns a future that completes at the end of the shutdown, without starting the shutdown.
     */
    CompletableFuture<Void> shutdownFuture() {
        return shutdownFuture.copy();
    }

    private void endRequests() {
        if (!shutdownFuture.isDone()) {
            LOG.info(
                    "router: the time to leave is over, {} requests left",
                    admission.inFlightCount());
            admission.close();
            endRequests.run();
        }
    }

    private void checkCompletion(long sinceMs) {
        int remaining = admission.inFlightCount();
        if (remaining == 0) {
            // Admission ends before the last count, so a request that arrives in between is refused
            // and not interrupted.
            admission.close();
            remaining = admission.inFlightCount();
        }
        long passedMs = clock.nowMs() - sinceMs;
        if (remaining == 0 || passedMs >= graceMs - CLOSE_RESERVE_MS) {
            LOG.info("router: left after {} ms, {} requests cut off", passedMs, remaining);
            shutdownFuture.complete(null);
            return;
        }
        runAt(clock.nowMs() + CHECK_INTERVAL_MS, () -> checkCompletion(sinceMs));
    }

    private void runAt(long ms, Runnable step) {
        control.schedule(step, Math.max(0, ms - clock.nowMs()), TimeUnit.MILLISECONDS);
    }
}
