package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How fast an engine is believed to be; immutable.
 *
 * @param prefillTokensPerMs prompt tokens computed in a millisecond
 * @param stepMs time of one decode step with an empty batch, in ms
 * @param stepGrowthMs time that each further sequence of the batch adds to a step, in ms
 * @param holdMs mean time that a sequence keeps its place in the batch, in ms
 */
public record SpeedEstimate(
        double prefillTokensPerMs, double stepMs, double stepGrowthMs, double holdMs) {
    public SpeedEstimate {
        checkArgument(prefillTokensPerMs > 0, "prefill of %s tokens a ms", prefillTokensPerMs);
        checkArgument(stepMs >= 0, "step of %s ms", stepMs);
        checkArgument(stepGrowthMs >= 0, "step growth of %s ms", stepGrowthMs);
        checkArgument(holdMs >= 0, "hold of %s ms", holdMs);
    }

    public static SpeedEstimate of(
            double prefillTokensPerMs, double stepMs, double stepGrowthMs, double holdMs) {
        return new SpeedEstimate(prefillTokensPerMs, stepMs, stepGrowthMs, holdMs);
    }
}
