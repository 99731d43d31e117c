package org.masticweir.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Remembers recent load so that a report can lag the truth.
 *
 * <p>Not thread-safe: the engine's lock guards it.
 */
final class LoadHistory {
    /** The load from {@code atMs} on. */
    private record Sample(long atMs, Load load) {}

    private final long lagMs;
    private final Deque<Sample> samples = new ArrayDeque<>();

    private LoadHistory(long lagMs) {
        this.lagMs = lagMs;
    }

    static LoadHistory lagging(long lagMs) {
        return new LoadHistory(lagMs);
    }

    void record(Load load, long nowMs) {
        if (!samples.isEmpty() && samples.getLast().atMs() == nowMs) {
            samples.removeLast();
        }
        samples.addLast(new Sample(nowMs, load));
        prune(nowMs);
    }

    /** Returns the load as it was {@code lagMs} ago. */
    Load reported(long nowMs) {
        prune(nowMs);
        Sample oldest = samples.peekFirst();
        boolean known = oldest != null && oldest.atMs() <= nowMs - lagMs;
        return known ? oldest.load() : new Load(0, 0);
    }

    /** Drops every sample that a later one, already old enough to be reported, replaces. */
    private void prune(long nowMs) {
        while (samples.size() > 1) {
            Sample first = samples.removeFirst();
            if (samples.getFirst().atMs() > nowMs - lagMs) {
                samples.addFirst(first);
                return;
            }
        }
    }
}
