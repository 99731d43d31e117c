package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What is asked of a load.
 *
 * @param seconds how long calls arrive
 * @param ratePerS mean arrivals a second
 * @param seed of all that is drawn
 * @param scaleTokens factor on all lengths
 */
public record LoadShape(Mix mix, double seconds, double ratePerS, long seed, double scaleTokens) {
    public LoadShape {
        checkNotNull(mix, "mix");
        checkArgument(seconds > 0, "%s seconds", seconds);
        checkArgument(ratePerS > 0, "rate %s a second", ratePerS);
        checkArgument(scaleTokens > 0, "scale %s", scaleTokens);
    }

    /** Returns the same load with a seed higher by {@code more}. */
    public LoadShape withSeedPlus(long more) {
        return new LoadShape(mix, seconds, ratePerS, seed + more, scaleTokens);
    }
}
