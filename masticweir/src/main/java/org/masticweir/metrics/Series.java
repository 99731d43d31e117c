package org.masticweir.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.masticweir.time.Clock;

/**
 * The metrics of one class of work or one team; thread-safe.
 *
 * @param recomputedTokens tokens that engines were sent as prefill because of a recovery
 */
record Series(
        Histogram firstToken,
        Histogram tokenGap,
        Histogram total,
        Histogram resume,
        Counter completed,
        Counter failed,
        Counter tokens,
        Counter moved,
        Counter reread,
        Counter recomputedTokens) {

    /** Registers the metrics whose names end in {@code suffix}, such as {@code .class.reports}. */
    static Series register(MetricRegistry registry, String suffix, Clock clock, long windowMs) {
        MetricRegistry.MetricSupplier<Histogram> histogram =
                () -> new Histogram(WindowedReservoir.of(clock, windowMs));
        return new Series(
                registry.histogram("first_token_ms" + suffix, histogram),
                registry.histogram("token_gap_ms" + suffix, histogram),
                registry.histogram("total_ms" + suffix, histogram),
                registry.histogram("resume_ms" + suffix, histogram),
                registry.counter("completed" + suffix),
                registry.counter("failed" + suffix),
                registry.counter("tokens" + suffix),
                registry.counter("recoveries_moved" + suffix),
                registry.counter("recoveries_reread" + suffix),
                registry.counter("recomputed_tokens" + suffix));
    }

    void completed(long ms, int count) {
        total.update(ms);
        completed.inc();
        tokens.inc(count);
    }

    void resumed(long ms, boolean byMove, int recomputed) {
        resume.update(ms);
        (byMove ? moved : reread).inc();
        recomputedTokens.inc(recomputed);
    }
}
