package org.masticweir.forward;

/**
 * Timeouts after which a router probes a silent engine or moves the stream; owned by the traffic
 * thread.
 *
 * <p>An engine, or all engines of a domain, may stop responding without a connection reset, so only
 * a timeout detects the loss. Moving a stream during a mere pause costs only the few tokens that
 * the copy lacks. Waiting for a lost engine costs the stream its time goal. The timeout between
 * events is therefore short, and grows only with the number of known prefills at the engine.
 */
public final class SilenceTimeouts {
    /** Fraction of the longest pause within the goal after which an engine counts as lost. */
    private static final double GAP_FRACTION = 0.5;

    /** Increase of {@link #GAP_FRACTION} for each prefill in progress. */
    private static final double GAP_FRACTION_PER_PREFILL = 0.08;

    /** Maximum of the increased fraction: the rest of the time is needed to resume elsewhere. */
    private static final double MAX_GAP_FRACTION = 0.7;

    /** Timeout between events for a route without a goal for the longest pause, in ms. */
    private static final long DEFAULT_TIMEOUT_MS = 2_000;

    /** Multiple of the expected prefill time after which an engine is probed. */
    private static final double PREFILL_MARGIN = 1.3;

    /**
     * Time in addition to the prefill, in ms: transport, one queue step and generation of the first
     * event.
     */
    private static final long FIRST_EVENT_OVERHEAD_MS = 250;

    /** Weight of the newest observation of the prefill speed. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /** Number of observations before the estimated speed is used. */
    private static final int MIN_OBSERVATIONS = 5;

    /**
     * Lower bound of an observation, as a fraction of the estimate. A prompt cached in the engine's
     * memory needs almost no prefill and does not predict the time of the next one.
     */
    private static final double MIN_OBSERVED_FRACTION = 0.7;

    /** Divisor of the time goal that gives the shortest timeout of the first event. */
    private static final int MIN_TIMEOUT_GOAL_DIVISOR = 4;

    private double msPerToken;
    private int observationCount;

    private SilenceTimeouts() {}

    public static SilenceTimeouts create() {
        return new SilenceTimeouts();
    }

    /**
     * Records a prefill that took {@code ms}. {@code tokens} counts all tokens in prefill at the
     * engine at the time of the send.
     */
    public void recordPrefill(long tokens, long ms) {
        if (tokens <= 0 || ms <= 0) {
            return;
        }
        double observed = Math.max((double) ms / tokens, msPerToken * MIN_OBSERVED_FRACTION);
        msPerToken =
                observationCount == 0
                        ? observed
                        : msPerToken + SMOOTHING_WEIGHT * (observed - msPerToken);
        observationCount++;
    }

    /**
     * Returns the timeout between two events, in ms.
     *
     * @param gapGoalMs goal for the longest pause; 0 if there is no such goal
     * @param prefills prefills in progress at the engine
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
     * Returns the time after which an engine that sent no first event is probed.
     *
     * @param tokens prompt tokens in prefill at the engine, including the tokens of this request
     * @param goalMs time goal of the first event
     */
    public long firstEventTimeoutMs(long tokens, long goalMs) {
        if (observationCount < MIN_OBSERVATIONS) {
            return goalMs / 2;
        }
        long expectedMs =
                Math.round(tokens * msPerToken * PREFILL_MARGIN) + FIRST_EVENT_OVERHEAD_MS;
        return Math.max(goalMs / MIN_TIMEOUT_GOAL_DIVISOR, Math.min(expectedMs, goalMs / 2));
    }
}
