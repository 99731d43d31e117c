package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.masticweir.time.Clock;

/**
 * A reservoir over HdrHistogram that holds the values of the last one to two windows.
 *
 * <p>Values decay by swapping: they go into the current window's histogram; once that is a window
 * old it becomes the previous one, and the one before it is dropped. A snapshot adds current and
 * previous, so a value counts in full for at least one window and never after two.
 *
 * <p>Thread-safe. An update takes no lock; it allocates only at a swap, and when a histogram has to
 * grow for a value beyond any it has seen.
 */
public final class WindowedReservoir implements Reservoir {
    /** Largest value told apart; longer ones are recorded as this. */
    static final long MAX_VALUE_MS = 3_600_000;

    /** Significant digits kept, so that a value read back is off by less than a hundredth. */
    private static final int DIGITS = 2;

    private final Clock clock;
    private final long windowMs;
    private volatile Windows windows;

    private WindowedReservoir(Clock clock, long windowMs) {
        this.clock = checkNotNull(clock, "clock");
        checkArgument(windowMs >= 1, "window %s ms", windowMs);
        this.windowMs = windowMs;
        windows = new Windows(histogram(), histogram(), clock.nowMs());
    }

    public static WindowedReservoir of(Clock clock, long windowMs) {
        return new WindowedReservoir(clock, windowMs);
    }

    @Override
    public void update(long value) {
        long ms = Math.max(0, Math.min(value, MAX_VALUE_MS));
        // A swap between these two steps puts the value into the previous window, which snapshots
        // still read. No histogram is cleared, so a value can only miss if its thread stands still
        // for a whole window between the steps.
        windowsNow().current().recordValue(ms);
    }

    @Override
    public int size() {
        return getSnapshot().size();
    }

    @Override
    public Snapshot getSnapshot() {
        Windows w = windowsNow();
        Histogram sum = w.previous().copy();
        sum.add(w.current().copy());
        return new HistogramSnapshot(sum);
    }

    private Windows windowsNow() {
        Windows w = windows;
        return clock.nowMs() - w.startedAtMs() < windowMs ? w : swap();
    }

    private synchronized Windows swap() {
        long nowMs = clock.nowMs();
        Windows old = windows;
        long ageMs = nowMs - old.startedAtMs();
        if (ageMs >= windowMs) {
            boolean recent = ageMs < 2 * windowMs;
            windows = new Windows(histogram(), recent ? old.current() : histogram(), nowMs);
        }
        return windows;
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(DIGITS);
    }

    /** The two histograms in use, and when the current one was begun. */
    private record Windows(Histogram current, Histogram previous, long startedAtMs) {}
}
