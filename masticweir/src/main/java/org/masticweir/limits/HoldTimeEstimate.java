package org.masticweir.limits;

/** Recent statistics on how long requests occupy their slots; not thread-safe. */
final class HoldTimeEstimate {
    /** Minimum weight of one finished request; the first requests have equal weights. */
    private static final double MIN_SMOOTHING = 0.01;

    private double smoothing = 1;

    private double meanMs;
    private double meanSquareMs;

    void add(double heldMs) {
        meanMs += smoothing * (heldMs - meanMs);
        meanSquareMs += smoothing * (heldMs * heldMs - meanSquareMs);
        smoothing = Math.max(MIN_SMOOTHING, smoothing / (1 + smoothing));
    }

    /** Returns the mean over requests, or {@code fallbackMs} before the first one has finished. */
    double meanMs(double fallbackMs) {
        return meanMs > 0 ? meanMs : fallbackMs;
    }

    /**
     * Returns the mean hold time of the request that occupies a slot at a random moment; longer
     * requests weigh more, in proportion to their length.
     */
    double lengthBiasedMeanMs(double fallbackMs) {
        return meanMs > 0 ? meanSquareMs / meanMs : fallbackMs;
    }
}
