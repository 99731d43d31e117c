package org.masticweir.serving;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/**
 * Records how fast one engine gives the tokens of one model.
 *
 * <p>Thread-safe: any traffic thread records, without locks; one thread drains.
 */
final class PaceRecorder {
    private static final int MAX_GAP_MS = 60_000;
    private static final int DIGITS = 1;
    private static final double QUANTILE_PERCENT = 90;

    private final Recorder gaps = new Recorder(MAX_GAP_MS, DIGITS);
    private final AtomicReference<AttemptSums> attempts = new AtomicReference<>(AttemptSums.NONE);
    private Histogram drained;

    /**
     * Records the time since a stream's last tokens; called for each frame.
     *
     * <p>All but the first of the frame's {@code tokens} count as gaps of nothing: an engine whose
     * tokens arrive several at once would otherwise pass for one that takes as long for each.
     */
    void gap(long ms, int tokens) {
        gaps.recordValue(Math.max(0, Math.min(ms, MAX_GAP_MS)));
        if (tokens > 1) {
            gaps.recordValueWithCount(0, tokens - 1);
        }
    }

    /**
     * Records an attempt's first token.
     *
     * @param prefillTokens tokens that the engine is believed to have computed for it
     */
    void firstToken(double prefillTokens, long ms) {
        attempts.updateAndGet(s -> s.withFirst(prefillTokens, ms));
    }

    /** Records how long an attempt kept its place, from its send to its end. */
    void held(long ms) {
        attempts.updateAndGet(s -> s.withHold(ms));
    }

    /** Returns what was recorded since the last call, if anything was. */
    Optional<PaceInterval> drain(EngineId engine, ModelId model) {
        drained = gaps.getIntervalHistogram(drained);
        AttemptSums sums = attempts.getAndSet(AttemptSums.NONE);
        long count = drained.getTotalCount();
        if (count == 0 && sums.equals(AttemptSums.NONE)) {
            return Optional.empty();
        }
        double high = count == 0 ? 0 : drained.getValueAtPercentile(QUANTILE_PERCENT);
        double mean = count == 0 ? 0 : drained.getMean();
        return Optional.of(new PaceInterval(engine, model, count, high, mean, sums));
    }
}
