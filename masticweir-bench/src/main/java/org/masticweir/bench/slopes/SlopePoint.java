package org.masticweir.bench.slopes;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;

/**
 * The costs measured at one size; immutable.
 *
 * @param at how many there were of what the sweep varies
 * @param costs the figure of each measured cost
 */
public record SlopePoint(Sweep sweep, int at, Map<Cost, Double> costs) {
    public SlopePoint {
        checkNotNull(sweep, "sweep");
        checkArgument(at > 0, "at %s must be over 0", at);
        costs = ImmutableSortedMap.copyOf(costs);
    }
}
