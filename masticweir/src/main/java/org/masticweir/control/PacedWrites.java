package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Spreads the journal's writes, so that a change of a whole domain can't take the table's capacity
 * from claims. Owned by the control thread.
 */
final class PacedWrites {
    private static final double MS_PER_SECOND = 1_000;

    private final double perSecond;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private double tokens;
    private long filledAtMs;

    private PacedWrites(double perSecond, long nowMs) {
        checkArgument(perSecond > 0, "writes per second %s", perSecond);
        this.perSecond = perSecond;
        filledAtMs = nowMs;
        tokens = burst();
    }

    static PacedWrites at(double perSecond, long nowMs) {
        return new PacedWrites(perSecond, nowMs);
    }

    /** Runs {@code write} now if the rate allows it, else by a later {@link #drain}. */
    void add(Runnable write, long nowMs) {
        waiting.add(write);
        drain(nowMs);
    }

    void drain(long nowMs) {
        tokens = Math.min(burst(), tokens + (nowMs - filledAtMs) * perSecond / MS_PER_SECOND);
        filledAtMs = nowMs;
        while (tokens >= 1 && !waiting.isEmpty()) {
            tokens--;
            waiting.poll().run();
        }
    }

    private double burst() {
        return Math.max(1, perSecond);
    }
}
