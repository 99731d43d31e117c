package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ComparisonChain;

/**
 * What a router says it knows of a request, without the tokens.
 *
 * @param held whether there is a copy to take over; else the router itself owns the request, or
 *     knows only the epoch
 */
public record CopySummary(
        CopyEpoch epoch, boolean held, int generation, int tokens, boolean ended) {
    public CopySummary {
        checkNotNull(epoch, "epoch");
    }

    /** Returns the answer of a router that owns the request under {@code epoch}. */
    public static CopySummary owned(CopyEpoch epoch) {
        return new CopySummary(epoch, false, 0, 0, false);
    }

    /** Tells whether a take-over from this copy loses less than one from {@code other}. */
    public boolean isBetterThan(CopySummary other) {
        return ComparisonChain.start()
                        .compareFalseFirst(held, other.held)
                        .compare(epoch, other.epoch)
                        .compare(generation, other.generation)
                        .compare(tokens, other.tokens)
                        .compareFalseFirst(ended, other.ended)
                        .result()
                > 0;
    }
}
