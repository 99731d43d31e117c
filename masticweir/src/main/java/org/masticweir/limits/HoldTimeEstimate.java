package org.masticweir.limits;

/** How long requests keep their places, as seen lately; not thread-safe. */
final class HoldTimeEstimate {
    /** Least weight of one finished request; the first ones all count alike. */
    private static final double MIN_SMOOTHING = 0.01;

    private double smoothing = 1;

    private double meanMs;
    private double meanSquareMs;

    void add(double heldMs) {
        meanMs += smoothing * (heldMs - meanMs);
        meanSquareMs += smoothing * (heldMs * heldMs - meanSquareMs);
        smoothing = Math.max(MIN_SMOOTHING, smoothing / (1 + smoothing));
    }

    /** Returns the mean over requests, or {@code estimateMs} while none was seen. */
    double meanMs(double fallbackMs) {
        return meanMs > 0 ? meanMs : fallbackMs;
    }

    /**
     * Returns how long the request is kept that holds a place at a moment drawn at random; long
     * ones count by their length.
     */
    double lengthBiasedMeanMs(double fallbackMs) {
        return meanMs > 0 ? meanSquareMs / meanMs : fallbackMs;
    }
}
