package org.masticweir.router;

/**
 * Fits a straight line to points, the newer ones weighing more, starting from a first guess.
 *
 * <p>Failure guarded against: a few odd points make an engine look so slow that it gets no work, so
 * no point ever corrects the estimate. Points fade with time, and without them the line is the
 * first guess again. Not thread-safe.
 */
final class FadingLine {
    /** Time in which a point's weight falls to 1/e, in ms. */
    private static final double MEMORY_MS = 30_000;

    /** Points that the first guess counts for. */
    private static final double GUESS_WEIGHT = 4;

    private final double guessIntercept;
    private final double guessSlope;
    private final double guessSpread;

    private double n;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;
    private long atMs;

    /**
     * Creates a line of which only the guess is known.
     *
     * @param spread distance between points that would outweigh the guessed slope
     */
    FadingLine(double intercept, double slope, double spread) {
        guessIntercept = intercept;
        guessSlope = slope;
        guessSpread = GUESS_WEIGHT * spread * spread;
    }

    /** Adds one point. */
    void add(double x, double y, long nowMs) {
        add(1, x, y, x * x, x * y, nowMs);
    }

    /** Adds {@code count} points by their sums. */
    void add(double count, double x, double y, double xx, double xy, long nowMs) {
        double kept = Math.exp(-Math.max(0, nowMs - atMs) / MEMORY_MS);
        atMs = Math.max(atMs, nowMs);
        n = n * kept + count;
        sumX = sumX * kept + x;
        sumY = sumY * kept + y;
        sumXx = sumXx * kept + xx;
        sumXy = sumXy * kept + xy;
    }

    /** Returns the slope, from 0 on. */
    double slope(long nowMs) {
        double f = n == 0 ? 0 : faded(nowMs);
        double covariance = n == 0 ? 0 : f * (sumXy - sumX * sumY / n);
        double variance = n == 0 ? 0 : f * (sumXx - sumX * sumX / n);
        return Math.max(
                0, (covariance + guessSpread * guessSlope) / (Math.max(0, variance) + guessSpread));
    }

    /** Returns the height at 0, from 0 on. */
    double intercept(long nowMs) {
        double f = faded(nowMs);
        double measured = f * (sumY - slope(nowMs) * sumX);
        return Math.max(0, (measured + GUESS_WEIGHT * guessIntercept) / (f * n + GUESS_WEIGHT));
    }

    private double faded(long nowMs) {
        return Math.exp(-Math.max(0, nowMs - atMs) / MEMORY_MS);
    }
}
