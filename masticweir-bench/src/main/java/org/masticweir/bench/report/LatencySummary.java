package org.masticweir.bench.report;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a latency, in ms; all 0 when nothing was recorded.
 *
 * @param count values recorded
 */
public record LatencySummary(
        long count, long p50Ms, long p90Ms, long p99Ms, long p999Ms, long maxMs) {
    /** Returns the percentiles of {@code histogram}, which holds milliseconds. */
    public static LatencySummary of(Histogram histogram) {
        return new LatencySummary(
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(90),
                histogram.getValueAtPercentile(99),
                histogram.getValueAtPercentile(99.9),
                histogram.getMaxValue());
    }
}
