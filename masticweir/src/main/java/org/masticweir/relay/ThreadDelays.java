package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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

    private final ScheduledExecutorService control;
    private final Executor traffic;
    private final Clock clock;
    private final Histogram controlMs;
    private final Histogram trafficMs;

    ThreadDelays(
            ScheduledExecutorService control,
            Executor traffic,
            Clock clock,
            MetricRegistry metrics) {
        this.control = checkNotNull(control, "control");
        this.traffic = checkNotNull(traffic, "traffic");
        this.clock = checkNotNull(clock, "clock");
        controlMs = histogram(metrics, "control");
        trafficMs = histogram(metrics, "traffic");
    }

    /** Starts the periodic measurement. */
    void start() {
        probeAt(clock.nowMs() + PROBE_INTERVAL_MS);
    }

    private void probeAt(long dueMs) {
        control.schedule(() -> probe(dueMs), dueMs - clock.nowMs(), TimeUnit.MILLISECONDS);
    }

    private void probe(long dueMs) {
        long now = clock.nowMs();
        traffic.execute(() -> recordDelays(now - dueMs, clock.nowMs() - now));
        probeAt(now + PROBE_INTERVAL_MS);
    }

    private void recordDelays(long controlLateMs, long trafficLateMs) {
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
