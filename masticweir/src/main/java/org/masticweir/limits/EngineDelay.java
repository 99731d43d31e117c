package org.masticweir.limits;

/**
 * How much later first tokens come than the engines' speed promises, as seen lately; not
 * thread-safe.
 *
 * <p>Failure guarded against: a request is let in at the last moment that its prompt and one step
 * allow, and is late by the wait for a place in the batch and for the prompts before it. That wait
 * differs between deployments, so it is learned: mean plus a deviation, in the manner of TCP's
 * retransmission timer.
 */
final class EngineDelay {
    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double DEVIATIONS = 1;

    /**
     * Time in which an estimate falls to 1/e without new samples, in ms: one that refuses all would
     * get no samples to correct it.
     */
    private static final double MEMORY_MS = 5_000;

    private double meanMs;
    private double deviationMs;
    private long seenAtMs;

    /** Takes note of a first token that came {@code ms} later than predicted, or earlier. */
    void saw(double ms, long nowMs) {
        double error = ms - meanMs;
        meanMs += MEAN_GAIN * error;
        deviationMs += DEVIATION_GAIN * (Math.abs(error) - deviationMs);
        seenAtMs = nowMs;
    }

    /** Returns the delay that few first tokens exceed. */
    double marginMs(long nowMs) {
        double fresh = Math.exp(-Math.max(0, nowMs - seenAtMs) / MEMORY_MS);
        return Math.max(0, meanMs + DEVIATIONS * deviationMs) * fresh;
    }
}
