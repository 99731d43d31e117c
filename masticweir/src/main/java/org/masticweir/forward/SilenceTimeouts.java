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
    private static final double GAP_PART = 0.5;

    /** What each prompt in reading adds to that part. */
    private static final double READING_PART = 0.08;

    /** Largest part: the rest is needed for going on elsewhere. */
    private static final double MAX_GAP_PART = 0.7;

    /** Bound between events where the route declares no pause, in ms. */
    private static final long UNDECLARED_GAP_MS = 2_000;

    /** Times the expected reading time after which an engine is asked whether it lives. */
    private static final double READ_SLACK = 1.3;

    /** What comes on top of reading, in ms: the way, the queue's step and the first event. */
    private static final long READ_EXTRA_MS = 250;

    /** Weight of the newest observation of the reading speed. */
    private static final double SPEED_WEIGHT = 0.1;

    /** Observations before the learnt speed counts. */
    private static final int LEAST_READS = 5;

    /**
     * Part of the learnt time below which an observation counts as so much. A prompt that lay in
     * the engine's memory is read in no time and says nothing of the next one.
     */
    private static final double LEAST_PART = 0.7;

    /** Part of the time goal that an engine has in any case. */
    private static final int LEAST_GOAL_PART = 4;

    private double msAToken;
    private int reads;

    private SilenceTimeouts() {}

    public static SilenceTimeouts create() {
        return new SilenceTimeouts();
    }

    /** A prompt behind {@code tokens} in reading, its own among them, took {@code ms}. */
    public void observeRead(long tokens, long ms) {
        if (tokens <= 0 || ms <= 0) {
            return;
        }
        double seen = Math.max((double) ms / tokens, msAToken * LEAST_PART);
        msAToken = reads == 0 ? seen : msAToken + SPEED_WEIGHT * (seen - msAToken);
        reads++;
    }

    /**
     * Returns the longest time between two events, in ms.
     *
     * @param gapGoalMs longest pause that is on time; 0 for none
     * @param reading prompts in reading at the engine
     */
    public long nextEventMs(long gapGoalMs, int reading) {
        if (gapGoalMs <= 0) {
            return UNDECLARED_GAP_MS;
        }
        double part = Math.min(MAX_GAP_PART, GAP_PART + READING_PART * reading);
        return Math.round(gapGoalMs * part);
    }

    /**
     * Returns the time after which an engine that sent no first event is asked whether it lives.
     *
     * @param tokens prompt tokens in reading at the engine, the request's own among them
     * @param goalMs time goal of the first event
     */
    public long firstEventMs(long tokens, long goalMs) {
        if (reads < LEAST_READS) {
            return goalMs / 2;
        }
        long expectedMs = Math.round(tokens * msAToken * READ_SLACK) + READ_EXTRA_MS;
        return Math.max(goalMs / LEAST_GOAL_PART, Math.min(expectedMs, goalMs / 2));
    }
}
