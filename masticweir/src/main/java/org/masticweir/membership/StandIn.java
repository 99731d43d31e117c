package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How soon routers of a later rank carry out a duty whose holders are silent; immutable.
 *
 * @param holders routers that carry it out together while all is well
 * @param firstMs silence after which the next rank stands in, in ms
 * @param stepMs how much longer each rank after it waits, so that one substitute is mostly enough
 * @param mostMs the longest wait of any rank, in ms
 */
public record StandIn(int holders, long firstMs, long stepMs, long mostMs) {
    public StandIn {
        checkArgument(holders >= 1, "%s holders", holders);
        checkArgument(firstMs > 0, "first after %s ms", firstMs);
        checkArgument(stepMs >= 0, "step of %s ms", stepMs);
        checkArgument(mostMs >= firstMs, "most %s ms, first %s ms", mostMs, firstMs);
    }

    /** Returns the rule of one holder, in which each rank waits {@code silenceMs} longer. */
    public static StandIn eachRankAfter(long silenceMs) {
        return new StandIn(1, silenceMs, silenceMs, Long.MAX_VALUE);
    }

    /** Returns the silence after which {@code rank} stands in, in ms; 0 for a holder. */
    long waitMs(int rank) {
        if (rank < holders) {
            return 0;
        }
        return Math.min(mostMs, firstMs + (rank - holders) * stepMs);
    }
}
