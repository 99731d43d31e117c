package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.metrics.MetricName;
import org.masticweir.metrics.WindowedReservoir;
import org.masticweir.time.Clock;

/**
 * Measures the scheduling delay of the router's two threads; thread-safe.
 *
 * <p>Delays of these threads make all timeouts of requests late. Without this measurement, the
 * effects of a busy processor cannot be distinguished from those of a wrong decision.
 */
final class ThreadDelays {
    private static final Logger LOG = LogManager.getLogger(ThreadDelays.class);

    private static final long PROBE_INTERVAL_MS = 500;
    private static final long WINDOW_MS = 60_000;

    /** Shortest delay that is logged, in ms. */
    static final long LOG_THRESHOLD_MS = 100;

    /** Time without a run of the traffic thread after which its stack is logged, in ms. */
    static final long STALL_THRESHOLD_MS = 1_000;

    /** Probes without a run of the traffic thread after which it is stuck: 10 s. */
    static final int STUCK_PROBES = 20;

    /** Limit on the frames of the router's own code in that line. */
    private static final int MAX_OWN_FRAMES = 8;

    private static final String OWN_PACKAGE = "org.masticweir.";

    private static final long NONE = Long.MIN_VALUE;

    private final ScheduledExecutorService control;
    private final Executor traffic;
    private final Supplier<StackTraceElement[]> trafficStack;
    private final Clock clock;
    private final Histogram controlMs;
    private final Histogram trafficMs;
    private final Counter stallCounter;
    private final CompletableFuture<Void> stuck = new CompletableFuture<>();

    /**
     * When the oldest probe that the traffic thread has not run was sent; {@link #NONE} if none.
     */
    private final AtomicLong oldestProbeMs = new AtomicLong(NONE);

    /** Whether the current stall was logged; owned by the control thread. */
    private boolean isStallLogged;

    /**
     * Probes in a row that the control thread sent while the traffic thread ran none; owned by the
     * control thread. Counted in probes and not in time, because both threads stop if the machine
     * does.
     */
    private int unansweredProbes;

    /**
     * Creates a measurement that is not started.
     *
     * @param trafficStack returns the stack of the traffic thread; called on the control thread
     */
    ThreadDelays(
            ScheduledExecutorService control,
            Executor traffic,
            Supplier<StackTraceElement[]> trafficStack,
            Clock clock,
            MetricRegistry metrics) {
        this.control = checkNotNull(control, "control");
        this.traffic = checkNotNull(traffic, "traffic");
        this.trafficStack = checkNotNull(trafficStack, "trafficStack");
        this.clock = checkNotNull(clock, "clock");
        controlMs = histogram(metrics, "control");
        trafficMs = histogram(metrics, "traffic");
        stallCounter = metrics.counter(MetricName.of("traffic_thread_stalls_total"));
    }

    /** Starts the periodic measurement. */
    void start() {
        probeAt(clock.nowMs() + PROBE_INTERVAL_MS);
    }

    /**
     * Returns a future that completes on the control thread once the traffic thread has not run for
     * {@link #STUCK_PROBES} probes. The process should end then: callers connect to other routers.
     */
    CompletableFuture<Void> stuckFuture() {
        return stuck.copy();
    }

    private void probeAt(long dueMs) {
        control.schedule(() -> probe(dueMs), dueMs - clock.nowMs(), TimeUnit.MILLISECONDS);
    }

    private void probe(long dueMs) {
        long now = clock.nowMs();
        checkStall(now);
        oldestProbeMs.compareAndSet(NONE, now);
        traffic.execute(() -> recordDelays(now - dueMs, clock.nowMs() - now));
        probeAt(now + PROBE_INTERVAL_MS);
    }

    /**
     * Logs once where a traffic thread stands that does not return from its work.
     *
     * <p>Its delay is recorded only when it returns, so one that never does would leave no trace.
     */
    private void checkStall(long nowMs) {
        long oldestMs = oldestProbeMs.get();
        boolean isStalled = oldestMs != NONE && nowMs - oldestMs >= STALL_THRESHOLD_MS;
        if (isStalled && !isStallLogged) {
            stallCounter.inc();
            LOG.warn(
                    "router: the traffic thread has not run for {} ms, it is in {}",
                    nowMs - oldestMs,
                    describe(trafficStack.get()));
        }
        isStallLogged = isStalled;
        unansweredProbes = oldestMs == NONE ? 0 : unansweredProbes + 1;
        if (unansweredProbes == STUCK_PROBES) {
            LOG.error("router: the traffic thread is stuck, no caller can be served");
            stuck.complete(null);
        }
    }

    /** Returns the innermost frame and those of the router's own code in one line. */
    static String describe(StackTraceElement[] stack) {
        Stream<StackTraceElement> ownFrames =
                Arrays.stream(stack)
                        .skip(1)
                        .filter(f -> f.getClassName().startsWith(OWN_PACKAGE))
                        .limit(MAX_OWN_FRAMES);
        return Stream.concat(Arrays.stream(stack).limit(1), ownFrames)
                .map(f -> f.getClassName() + "." + f.getMethodName() + ":" + f.getLineNumber())
                .collect(Collectors.joining(" < "));
    }

    private void recordDelays(long controlLateMs, long trafficLateMs) {
        oldestProbeMs.set(NONE);
        controlMs.update(controlLateMs);
        trafficMs.update(trafficLateMs);
        if (Math.max(controlLateMs, trafficLateMs) >= LOG_THRESHOLD_MS) {
            LOG.info(
                    "router: the control thread ran {} ms late, the traffic thread {} ms",
                    controlLateMs,
                    trafficLateMs);
        }
    }

    private Histogram histogram(MetricRegistry metrics, String thread) {
        return metrics.histogram(
                MetricName.of("thread_delay_ms", "thread", thread),
                () -> new Histogram(WindowedReservoir.of(clock, WINDOW_MS)));
    }
}
