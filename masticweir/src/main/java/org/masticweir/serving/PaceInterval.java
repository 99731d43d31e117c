package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.TokenGaps;

/**
 * How fast one engine gave one model's tokens over one interval; immutable.
 *
 * @param gaps count of gaps between tokens; those of one frame have gaps of nothing
 * @param highGapMs the 90th percentile of them, in ms
 * @param meanGapMs their mean, in ms
 */
public record PaceInterval(
        EngineId engine,
        ModelId model,
        long gaps,
        double highGapMs,
        double meanGapMs,
        AttemptSums attempts) {
    public PaceInterval {
        checkNotNull(engine, "engine");
        checkNotNull(model, "model");
        checkNotNull(attempts, "attempts");
    }

    /** Returns the interval's gaps as the judge of engines takes them. */
    public TokenGaps.Sample toSample() {
        return new TokenGaps.Sample(engine, model, gaps, highGapMs);
    }
}
