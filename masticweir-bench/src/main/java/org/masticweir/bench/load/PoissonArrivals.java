package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.primitives.ImmutableLongArray;
import java.util.random.RandomGenerator;

/**
 * Arrivals of a Poisson process, planned before the load starts so that no answer can delay one.
 *
 * @param ratePerS mean arrivals a second
 */
record PoissonArrivals(double ratePerS) {
    private static final double MS_PER_S = 1000;

    PoissonArrivals {
        checkArgument(ratePerS > 0, "rate %s a second", ratePerS);
    }

    /** Returns the times of arrival before {@code endMs}, in ms from the start. */
    ImmutableLongArray until(long endMs, RandomGenerator random) {
        ImmutableLongArray.Builder times = ImmutableLongArray.builder();
        double at = gapMs(random);
        while (at < endMs) {
            times.add((long) at);
            at += gapMs(random);
        }
        return times.build();
    }

    private double gapMs(RandomGenerator random) {
        return -Math.log(1 - random.nextDouble()) * MS_PER_S / ratePerS;
    }
}
