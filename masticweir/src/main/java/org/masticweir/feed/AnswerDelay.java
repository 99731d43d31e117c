package org.masticweir.feed;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates how late the store answers, and decides how long an answer is awaited; not thread-safe,
 * reads no clock.
 *
 * <p>Failure guarded against: a store that answers later than a fixed limit counts as lost, its
 * answers are thrown away, every router calls it in place of a few, and it answers later still. The
 * limit follows the answers as a retransmission timer does (RFC 6298): their mean, four times their
 * variation, and twice as long after each call that ended without one.
 */
final class AnswerDelay {
    /** Longest time that an answer is awaited, in ms. */
    static final long MAX_GRACE_MS = 4_000;

    private static final double MEAN_GAIN = 1 / 8.0;
    private static final double VARIATION_GAIN = 1 / 4.0;
    private static final int VARIATIONS = 4;

    private final long leastGraceMs;
    private boolean measured;
    private double meanMs;
    private double variationMs;
    private long graceMs;

    /**
     * Creates an estimate for a store that has not answered yet.
     *
     * @param leastGraceMs shortest time that an answer is awaited, in ms
     */
    AnswerDelay(long leastGraceMs) {
        checkArgument(leastGraceMs >= 1, "least grace %s ms", leastGraceMs);
        this.leastGraceMs = leastGraceMs;
        graceMs = leastGraceMs;
    }

    /** Takes note that an answer came {@code delayMs} after there was something to say. */
    void answered(long delayMs) {
        if (measured) {
            double off = Math.abs(meanMs - delayMs);
            variationMs += VARIATION_GAIN * (off - variationMs);
            meanMs += MEAN_GAIN * (delayMs - meanMs);
        } else {
            meanMs = delayMs;
            variationMs = delayMs / 2.0;
            measured = true;
        }
        graceMs = bounded((long) Math.ceil(meanMs + VARIATIONS * variationMs));
    }

    /** Takes note that no answer came in the time that {@link #graceMs} gave it. */
    void unanswered() {
        graceMs = bounded(2 * graceMs);
    }

    /** Returns how late answers have come on average, in ms; 0 before the first. */
    long meanMs() {
        return Math.round(meanMs);
    }

    /** Returns how long an answer is awaited once there is something to say, in ms. */
    long graceMs() {
        return graceMs;
    }

    private long bounded(long ms) {
        return Math.max(leastGraceMs, Math.min(MAX_GRACE_MS, ms));
    }
}
