package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.math.Quantiles;
import java.util.List;

/**
 * The median of a figure over several runs, with its least and greatest value.
 *
 * @param runs how many runs have the figure
 */
public record Spread(int runs, double median, double min, double max) {
    /** Returns the spread of at least one value. */
    static Spread of(List<Double> values) {
        checkArgument(!values.isEmpty(), "no values");
        return new Spread(
                values.size(),
                Quantiles.median().compute(values),
                values.stream().mapToDouble(v -> v).min().getAsDouble(),
                values.stream().mapToDouble(v -> v).max().getAsDouble());
    }

    @Override
    public String toString() {
        return String.format("%s (%s..%s of %d)", text(median), text(min), text(max), runs);
    }

    private static String text(double value) {
        return value == Math.rint(value)
                ? String.valueOf((long) value)
                : String.format("%.3f", value);
    }
}
