package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.random.RandomGenerator;

/**
 * A long-tailed distribution of token counts.
 *
 * @param median half of the lengths are at most this
 * @param sigma standard deviation of the logarithm; higher is a longer tail
 * @param max longest length drawn
 */
record LogNormalLength(double median, double sigma, int max) {
    LogNormalLength {
        checkArgument(median >= 1, "median %s tokens", median);
        checkArgument(sigma >= 0, "sigma %s", sigma);
        checkArgument(max >= 1, "max %s tokens", max);
    }

    /** Draws a length from 1 to {@code max}. */
    int draw(RandomGenerator random) {
        double length = median * Math.exp(sigma * random.nextGaussian());
        return (int) Math.max(1, Math.min(max, Math.round(length)));
    }

    /** Returns the same shape with lengths multiplied by {@code factor}. */
    LogNormalLength scaled(double factor) {
        int most = (int) Math.max(1, Math.round(max * factor));
        return new LogNormalLength(Math.max(1, median * factor), sigma, most);
    }
}
