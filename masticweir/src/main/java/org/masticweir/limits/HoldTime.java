package org.masticweir.limits;

/** How long requests keep their places, as seen lately; not thread-safe. */
final class HoldTime {
    /** Least weight of one finished request; the first ones all count alike. */
    private static final double GAIN = 0.01;

    private double gain = 1;

    private double meanMs;
    private double meanSquareMs;

    void saw(double heldMs) {
        meanMs += gain * (heldMs - meanMs);
        meanSquareMs += gain * (heldMs * heldMs - meanSquareMs);
        gain = Math.max(GAIN, gain / (1 + gain));
    }

    /** Returns the mean over requests, or {@code estimateMs} while none was seen. */
    double meanMs(double estimateMs) {
        return meanMs > 0 ? meanMs : estimateMs;
    }

    /**
     * Returns how long the request is kept that holds a place at a moment drawn at random; long
     * ones count by their length.
     */
    double ofPlaceMs(double estimateMs) {
        return meanMs > 0 ? meanSquareMs / meanMs : estimateMs;
    }
}
