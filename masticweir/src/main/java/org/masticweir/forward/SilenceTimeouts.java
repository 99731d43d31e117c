package org.masticweir.forward;

/**
 * How long an engine may be silent before a stream is taken elsewhere; owned by the traffic thread.
 *
 * <p>Failure that it answers: an engine, or all engines of a domain, go dark, without a reset. Only
 * silence shows it. A pause that is taken for a loss costs the few tokens which the copy lacks; a
 * loss that is taken for a pause costs the stream its time goal. The bound between events is
 * therefore short, and grows only with the prompts known to be in reading at that engine.
 */
public final class SilenceTimeouts {
    /** Part of the longest pause that is on time after which an engine counts as lost. */
    private static final double GAP_FRACTION = 0.5;

    /** What each prompt in reading adds to that part. */
    private static final double GAP_FRACTION_PER_PREFILL = 0.08;

    /** Largest part: the rest is needed for going on elsewhere. */
    private static final double MAX_GAP_FRACTION = 0.7;

    /** Bound between events where the route declares no pause, in ms. */
    private static final long DEFAULT_TIMEOUT_MS = 2_000;

    /** Times the expected reading time after which an engine is asked whether it lives. */
    private static final double PREFILL_MARGIN = 1.3;

    /** What comes on top of reading, in ms: the way, the queue's step and the first event. */
    private static final long FIRST_EVENT_OVERHEAD_MS = 250;

    /** Weight of the newest observation of the reading speed. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /** Observations before the learnt speed counts. */
    private static final int MIN_OBSERVATIONS = 5;

    /**
     * Part of the learnt time below which an observation counts as so much. A prompt that lay in
     * the engine's memory is read in no time and says nothing of the next one.
     */
    private static final double MIN_OBSERVED_FRACTION = 0.7;

    /** Part of the time goal that an engine has in any case. */
    private static final int MIN_TIMEOUT_GOAL_DIVISOR = 4;

    private double msPerToken;
    private int observations;

    private SilenceTimeouts() {}

    public static SilenceTimeouts create() {
        return new SilenceTimeouts();
    }

    /** A prompt behind {@code tokens} in reading, its own among them, took {@code ms}. */
    public void recordPrefill(long tokens, long ms) {
        if (tokens <= 0 || ms <= 0) {
            return;
        }
        double observed = Math.max((double) ms / tokens, msPerToken * MIN_OBSERVED_FRACTION);
        msPerToken =
                observations == 0
                        ? observed
                        : msPerToken + SMOOTHING_WEIGHT * (observed - msPerToken);
        observations++;
    }

    /**
     * Returns the longest time between two events, in ms.
     *
     * @param gapGoalMs longest pause that is on time; 0 for none
     * @param prefills prompts in reading at the engine
     */
    public long nextEventTimeoutMs(long gapGoalMs, int prefills) {
        if (gapGoalMs <= 0) {
            return DEFAULT_TIMEOUT_MS;
        }
        double fraction =
                Math.min(MAX_GAP_FRACTION, GAP_FRACTION + GAP_FRACTION_PER_PREFILL * prefills);
        return Math.round(gapGoalMs * fraction);
    }

    /**
     * Returns the time after which an engine that sent no first event is asked whether it lives.
     *
     * @param tokens prompt tokens in reading at the engine, the request's own among them
     * @param goalMs time goal of the first event
     */
    public long firstEventTimeoutMs(long tokens, long goalMs) {
        if (observations < MIN_OBSERVATIONS) {
            return goalMs / 2;
        }
        long expectedMs =
                Math.round(tokens * msPerToken * PREFILL_MARGIN) + FIRST_EVENT_OVERHEAD_MS;
        return Math.max(goalMs / MIN_TIMEOUT_GOAL_DIVISOR, Math.min(expectedMs, goalMs / 2));
    }
}
