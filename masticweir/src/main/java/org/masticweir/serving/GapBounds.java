package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.id.EngineId;
import org.masticweir.recovery.SilenceBounds;

/**
 * Learns each engine's pace and bounds its silence by it; thread-safe.
 *
 * <p>The bound is a multiple of the engine's own p99, never under a floor, so that an engine with
 * long steps is not probed at each of them and a quick one is missed soon.
 */
public final class GapBounds {
    private static final long HIGHEST_MS = 60_000;
    private static final int DIGITS = 2;
    private static final int ENOUGH_GAPS = 50;
    private static final int REFRESH_EVERY = 64;
    private static final double QUANTILE = 99.0;

    private final ConcurrentMap<EngineId, Pace> paces = new ConcurrentHashMap<>();
    private final long floorMs;
    private final long startMs;

    private GapBounds(long floorMs, long startMs) {
        this.floorMs = floorMs;
        this.startMs = startMs;
    }

    /** Returns bounds that are at least {@code floorMs}, and {@code startMs} while unknown. */
    public static GapBounds of(long floorMs, long startMs) {
        return new GapBounds(floorMs, startMs);
    }

    /** Learns that {@code engine} took {@code ms} between two frames of one generation. */
    public void gap(EngineId engine, long ms) {
        pace(engine).gaps.record(ms);
    }

    /** Learns that {@code engine} took {@code ms} to the first token of an attempt. */
    public void firstToken(EngineId engine, long ms) {
        pace(engine).firsts.record(ms);
    }

    /** Forgets all engines outside {@code known}. */
    public void retain(Set<EngineId> known) {
        paces.keySet().retainAll(checkNotNull(known, "known"));
    }

    /**
     * Returns the bounds for one request of {@code preset}.
     *
     * <p>Until an engine's pace is learned, its first token is waited for by the router's own
     * estimate: an engine that hung before it would otherwise be noticed only after the start
     * bound. An estimate that is too low costs a probe, which a live engine answers.
     *
     * @param expectedFirstMs time to the first token that the router expected of the current
     *     attempt, in ms; 0 for none
     */
    public SilenceBounds forRequest(RecoveryPreset preset, DoubleSupplier expectedFirstMs) {
        checkNotNull(preset, "preset");
        checkNotNull(expectedFirstMs, "expectedFirstMs");
        return (engine, first) -> {
            long learned = bound(preset, engine, first);
            double expected = expectedFirstMs.getAsDouble();
            if (!first || expected <= 0) {
                return learned;
            }
            return Math.min(learned, floorMs + (long) (preset.silenceFactor() * expected));
        };
    }

    private long bound(RecoveryPreset preset, EngineId engine, boolean first) {
        Pace pace = pace(engine);
        Learned learned = first ? pace.firsts : pace.gaps;
        if (!learned.known()) {
            return startMs;
        }
        return Math.max(floorMs, preset.silenceFactor() * learned.quantileMs());
    }

    private Pace pace(EngineId engine) {
        return paces.computeIfAbsent(checkNotNull(engine, "engine"), id -> new Pace());
    }

    /** What is learned of one engine. */
    private static final class Pace {
        private final Learned gaps = new Learned();
        private final Learned firsts = new Learned();
    }

    /** A histogram whose quantile is worked out only now and then. */
    private static final class Learned {
        private final ConcurrentHistogram histogram = new ConcurrentHistogram(HIGHEST_MS, DIGITS);
        private volatile long quantileMs;
        private volatile long count;

        void record(long ms) {
            histogram.recordValue(Math.min(HIGHEST_MS, Math.max(0, ms)));
            long total = histogram.getTotalCount();
            if (total < ENOUGH_GAPS || total % REFRESH_EVERY == 0) {
                quantileMs = histogram.getValueAtPercentile(QUANTILE);
            }
            count = total;
        }

        boolean known() {
            return count >= ENOUGH_GAPS;
        }

        long quantileMs() {
            return quantileMs;
        }
    }
}
