package org.masticweir.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One histogram as operators see it; immutable.
 *
 * @param count all values since the process began
 * @param recentCount values that the quantiles and the maximum are taken from
 */
record HistogramView(
        long count,
        @JsonProperty("recent_count") long recentCount,
        long p50,
        long p90,
        long p99,
        @JsonProperty("p99.9") long p999,
        long max) {
    private static final double P90 = 0.9;

    static HistogramView of(Histogram histogram) {
        Snapshot s = histogram.getSnapshot();
        return new HistogramView(
                histogram.getCount(),
                s.size(),
                Math.round(s.getMedian()),
                Math.round(s.getValue(P90)),
                Math.round(s.get99thPercentile()),
                Math.round(s.get999thPercentile()),
                s.getMax());
    }
}
