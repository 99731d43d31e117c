package org.masticweir.router;

import org.masticweir.routing.SpeedEstimate;
import org.masticweir.serving.AttemptSums;
import org.masticweir.serving.PaceInterval;

/**
 * Learns how fast one engine is at one model; owned by the control thread.
 *
 * <p>Steps are fitted against the batch that the engine reported, first tokens against the prompt
 * tokens that it had to compute.
 */
final class SpeedLearner {
    /** Believed of an engine until it is measured. */
    private static final SpeedEstimate FIRST_GUESS = SpeedEstimate.of(10, 15, 0.3, 3_000);

    /** Gaps in an interval below which its mean says little. */
    private static final int MIN_GAPS = 5;

    private static final double BATCH_SPREAD = 4;
    private static final double PROMPT_SPREAD = 200;
    private static final double MIN_MS_PER_TOKEN = 0.001;

    private final FadingLine step =
            new FadingLine(FIRST_GUESS.stepMs(), FIRST_GUESS.stepGrowthMs(), BATCH_SPREAD);
    private final FadingLine first =
            new FadingLine(0, 1 / FIRST_GUESS.prefillTokensPerMs(), PROMPT_SPREAD);
    private final FadingLine hold = new FadingLine(FIRST_GUESS.holdMs(), 0, 1);

    /** Takes one interval in which the engine reported {@code batch} sequences in its batch. */
    void learn(PaceInterval interval, int batch, long nowMs) {
        if (interval.gaps() >= MIN_GAPS) {
            step.add(batch, interval.meanGapMs(), nowMs);
        }
        AttemptSums s = interval.attempts();
        first.add(s.firsts(), s.tokens(), s.ms(), s.tokensSquared(), s.tokensByMs(), nowMs);
        hold.add(s.holds(), 0, s.holdMs(), 0, 0, nowMs);
    }

    /** Returns what is believed now. */
    SpeedEstimate estimate(long nowMs) {
        double msPerToken = Math.max(MIN_MS_PER_TOKEN, first.slope(nowMs));
        return SpeedEstimate.of(
                1 / msPerToken, step.intercept(nowMs), step.slope(nowMs), hold.intercept(nowMs));
    }
}
