package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * What is asked of a load.
 *
 * @param seconds how long calls arrive
 * @param ratePerS mean arrivals a second
 * @param seed of all that is drawn
 * @param scaleTokens factor on all lengths
 * @param maxReturns times that a refused caller comes back when it was told to
 * @param bursts calls beside the Poisson arrivals
 */
public record LoadShape(
        Mix mix,
        double seconds,
        double ratePerS,
        long seed,
        double scaleTokens,
        int maxReturns,
        List<Burst> bursts) {
    public LoadShape {
        checkNotNull(mix, "mix");
        checkArgument(seconds > 0, "%s seconds", seconds);
        checkArgument(ratePerS > 0, "rate %s a second", ratePerS);
        checkArgument(scaleTokens > 0, "scale %s", scaleTokens);
        checkArgument(maxReturns >= 0, "%s returns", maxReturns);
        bursts = ImmutableList.copyOf(bursts);
    }

    /** Returns a load without bursts, whose refused callers stay away. */
    static LoadShape of(Mix mix, double seconds, double ratePerS, long seed, double scaleTokens) {
        return new LoadShape(mix, seconds, ratePerS, seed, scaleTokens, 0, ImmutableList.of());
    }

    /** Returns the same load with a seed higher by {@code more}. */
    public LoadShape withSeedPlus(long more) {
        return new LoadShape(mix, seconds, ratePerS, seed + more, scaleTokens, maxReturns, bursts);
    }
}
