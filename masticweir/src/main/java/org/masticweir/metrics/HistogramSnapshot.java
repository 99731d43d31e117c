package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Snapshot;
import com.google.common.collect.Streams;
import com.google.common.primitives.Ints;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/**
 * What a {@link WindowedReservoir} held at one moment.
 *
 * <p>Thread-safe, since nothing writes to the histogram any more.
 */
final class HistogramSnapshot extends Snapshot {
    private static final double PERCENT = 100;

    private final Histogram histogram;

    /** Takes over {@code histogram}, which the caller must leave alone from then on. */
    HistogramSnapshot(Histogram histogram) {
        this.histogram = checkNotNull(histogram, "histogram");
    }

    @Override
    public double getValue(double quantile) {
        checkArgument(quantile >= 0 && quantile <= 1, "quantile %s outside 0 to 1", quantile);
        return histogram.getValueAtPercentile(quantile * PERCENT);
    }

    /** Returns each distinct value once, in ascending order. */
    @Override
    public long[] getValues() {
        return Streams.stream(histogram.recordedValues())
                .mapToLong(HistogramIterationValue::getValueIteratedTo)
                .toArray();
    }

    /** Returns the count of all values, repeated ones included. */
    @Override
    public int size() {
        return Ints.saturatedCast(histogram.getTotalCount());
    }

    @Override
    public long getMax() {
        return histogram.getMaxValue();
    }

    @Override
    public double getMean() {
        return histogram.getMean();
    }

    @Override
    public long getMin() {
        return size() == 0 ? 0 : histogram.getMinValue();
    }

    @Override
    public double getStdDev() {
        return histogram.getStdDeviation();
    }

    @Override
    public void dump(OutputStream output) {
        PrintStream out = new PrintStream(output, false, StandardCharsets.UTF_8);
        for (long value : getValues()) {
            out.println(value);
        }
        out.flush();
    }
}
