package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/**
 * Collects the times between tokens of each engine, for the control thread to judge in intervals.
 *
 * <p>Thread-safe: traffic threads record without locks, the control thread drains.
 */
public final class TokenGaps {
    private static final int MAX_GAP_MS = 60_000;
    private static final int DIGITS = 1;
    private static final double QUANTILE_PERCENT = 90;

    private final ConcurrentMap<Key, Recorder> recorders = new ConcurrentHashMap<>();

    private TokenGaps() {}

    public static TokenGaps create() {
        return new TokenGaps();
    }

    /** Records that a token of {@code model} came {@code gapMs} after the one before it. */
    public void record(EngineId engine, ModelId model, long gapMs) {
        recorders
                .computeIfAbsent(new Key(engine, model), k -> new Recorder(MAX_GAP_MS, DIGITS))
                .recordValue(Math.max(0, Math.min(gapMs, MAX_GAP_MS)));
    }

    /** Returns what was recorded since the last drain; for one thread only. */
    public ImmutableList<Sample> drain() {
        ImmutableList.Builder<Sample> samples = ImmutableList.builder();
        recorders.forEach(
                (key, recorder) -> {
                    Histogram h = recorder.getIntervalHistogram();
                    if (h.getTotalCount() > 0) {
                        long gap = h.getValueAtPercentile(QUANTILE_PERCENT);
                        samples.add(new Sample(key.engine, key.model, h.getTotalCount(), gap));
                    }
                });
        return samples.build();
    }

    /** Forgets all engines outside {@code known}. */
    public void retain(Set<EngineId> known) {
        checkNotNull(known, "known");
        recorders.keySet().removeIf(k -> !known.contains(k.engine));
    }

    private record Key(EngineId engine, ModelId model) {
        Key {
            checkNotNull(engine, "engine");
            checkNotNull(model, "model");
        }
    }

    /**
     * The token gaps of one engine and model over one interval; immutable.
     *
     * @param count gaps recorded
     * @param gapMs the 90th percentile of them, in ms
     */
    public record Sample(EngineId engine, ModelId model, long count, double gapMs) {
        public Sample {
            checkNotNull(engine, "engine");
            checkNotNull(model, "model");
        }
    }
}
