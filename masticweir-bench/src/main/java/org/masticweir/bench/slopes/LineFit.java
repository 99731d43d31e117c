package org.masticweir.bench.slopes;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;

/**
 * The line of least squares through measured points; immutable.
 *
 * @param residual root of the mean squared distance of the points from the line
 */
public record LineFit(double slope, double intercept, double residual) {
    static final int LEAST_POINTS = 4;

    /** One point of the plane. */
    record Xy(double x, double y) {}

    /** Fits a line to at least four points, which must not all stand at one x. */
    static LineFit of(List<Xy> points) {
        checkNotNull(points, "points");
        checkArgument(points.size() >= LEAST_POINTS, "%s points are too few", points.size());
        double meanX = points.stream().mapToDouble(Xy::x).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Xy::y).average().orElseThrow();
        double xx = points.stream().mapToDouble(p -> square(p.x - meanX)).sum();
        checkArgument(xx > 0, "all points stand at %s", meanX);
        double xy = points.stream().mapToDouble(p -> (p.x - meanX) * (p.y - meanY)).sum();
        double slope = xy / xx;
        double intercept = meanY - slope * meanX;
        double squares =
                points.stream().mapToDouble(p -> square(p.y - intercept - slope * p.x)).sum();
        return new LineFit(slope, intercept, Math.sqrt(squares / points.size()));
    }

    /** Returns the line's value at {@code x}. */
    public double at(double x) {
        return intercept + slope * x;
    }

    private static double square(double d) {
        return d * d;
    }
}
