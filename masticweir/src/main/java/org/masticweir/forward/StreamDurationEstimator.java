package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * How long streams take, learnt from those that ended; owned by the traffic thread.
 *
 * <p>Load that it answers: a router leaves, and streams that it takes meanwhile are cut off in
 * their middle when the process has to end. A stream's length follows from the tokens that it may
 * make, so the ones that still fit can be told from the others.
 */
public final class StreamDurationEstimator {
    /** Weight of the newest observation. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /** Times the learnt time that a stream is given: engines differ by a third in their speed. */
    private static final double MARGIN = 1.3;

    private boolean hasObservation;
    private double firstEventMs;
    private double msPerToken;

    private StreamDurationEstimator() {}

    public static StreamDurationEstimator create() {
        return new StreamDurationEstimator();
    }

    /**
     * Takes note of a stream that ended.
     *
     * @param firstMs time to its first event
     * @param restMs time from there to its end
     */
    public void observe(RequestSize size, long firstMs, long restMs) {
        checkNotNull(size, "size");
        if (size.output() == 0) {
            return;
        }
        double observedMsPerToken = (double) restMs / size.output();
        double weight = hasObservation ? SMOOTHING_WEIGHT : 1;
        firstEventMs += weight * (firstMs - firstEventMs);
        msPerToken += weight * (observedMsPerToken - msPerToken);
        hasObservation = true;
    }

    /** Returns the time in which nearly all streams of {@code size} end; empty while unknown. */
    public OptionalLong expectedMs(RequestSize size) {
        return hasObservation
                ? OptionalLong.of(Math.round(MARGIN * (firstEventMs + msPerToken * size.output())))
                : OptionalLong.empty();
    }
}
