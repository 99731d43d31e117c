package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * Estimates the duration of streams from ended streams; owned by the traffic thread.
 *
 * <p>Streams of a draining router are interrupted if they are still running when the process must
 * end. The duration of a stream depends on its maximum number of output tokens, so the router can
 * admit only the streams that still end in time.
 */
public final class StreamDurationEstimator {
    /** Weight of the newest observation. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /**
     * Multiple of the estimate that is reserved for a stream: the speed of engines differs by a
     * third.
     */
    private static final double MARGIN = 1.3;

    private boolean hasObservation;
    private double firstEventMs;
    private double msPerToken;

    private StreamDurationEstimator() {}

    public static StreamDurationEstimator create() {
        return new StreamDurationEstimator();
    }

    /**
     * Records a stream that ended.
     *
     * @param firstMs time to its first event
     * @param restMs time from its first event to its end
     */
    public void recordStream(RequestSize size, long firstMs, long restMs) {
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

    /**
     * Returns the time within which nearly all streams of {@code size} end; empty before the first
     * observation.
     */
    public OptionalLong expectedDurationMs(RequestSize size) {
        return hasObservation
                ? OptionalLong.of(Math.round(MARGIN * (firstEventMs + msPerToken * size.output())))
                : OptionalLong.empty();
    }
}
