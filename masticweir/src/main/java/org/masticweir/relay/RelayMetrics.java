package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.masticweir.error.ErrorCode;
import org.masticweir.metrics.WindowedReservoir;
import org.masticweir.time.Clock;

/** Counts what requests experience; thread-safe. */
final class RelayMetrics {
    private static final long WINDOW_MS = 60_000;

    private final MetricRegistry registry;
    private final Histogram answerMs;
    private final Histogram firstEventMs;
    private final Histogram resumeMs;
    private final Counter answered;
    private final Counter sent;
    private final Counter sentAgain;
    private final Counter callersLeft;

    private RelayMetrics(MetricRegistry registry, Clock clock) {
        this.registry = checkNotNull(registry, "registry");
        answerMs = histogram("answer_ms", clock);
        firstEventMs = histogram("first_event_ms", clock);
        resumeMs = histogram("resume_ms", clock);
        answered = registry.counter("answered_total");
        sent = registry.counter("sent_total");
        sentAgain = registry.counter("sent_again_total");
        callersLeft = registry.counter("callers_left_total");
    }

    static RelayMetrics of(MetricRegistry registry, Clock clock) {
        return new RelayMetrics(registry, clock);
    }

    /** A request went to a server, for the {@code sends}-th time. */
    void sent(int sends) {
        sent.inc();
        if (sends > 1) {
            sentAgain.inc();
        }
    }

    void firstEvent(long ms) {
        firstEventMs.update(ms);
    }

    /** A stream went on after a loss, {@code ms} after its last event. */
    void resumed(long ms) {
        resumeMs.update(ms);
    }

    void answered(long ms) {
        answered.inc();
        answerMs.update(ms);
    }

    void failed(ErrorCode code) {
        registry.counter("failed_total." + code).inc();
    }

    void callerLeft() {
        callersLeft.inc();
    }

    private Histogram histogram(String name, Clock clock) {
        return registry.histogram(
                name, () -> new Histogram(WindowedReservoir.of(clock, WINDOW_MS)));
    }
}
