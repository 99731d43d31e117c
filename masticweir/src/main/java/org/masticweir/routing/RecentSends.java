package org.masticweir.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * One engine's own sends less finishes, by the time they were made; thread-safe without locks.
 *
 * <p>A ring of short intervals: each slot packs the number of its interval and the net count, so
 * that one compare-and-set both reuses an old slot and counts.
 */
final class RecentSends {
    private static final int INTERVAL_MS = 50;
    private static final int SLOTS = 64;

    private static final long COUNT_ZERO = 1L << 30;
    private static final long COUNT_MASK = 0xffff_ffffL;

    private final AtomicInteger outstanding = new AtomicInteger();

    /** When the engine will have computed the prompts sent to it; no bound before the first. */
    private final AtomicLong prefillDoneAtMs = new AtomicLong(Long.MIN_VALUE);

    private final AtomicLongArray slots = new AtomicLongArray(SLOTS);

    RecentSends() {
        for (int i = 0; i < SLOTS; i++) {
            slots.set(i, COUNT_ZERO);
        }
    }

    void add(long nowMs, int delta) {
        outstanding.updateAndGet(n -> Math.max(0, n + delta));
        long interval = interval(nowMs);
        int tag = (int) interval;
        slots.updateAndGet(slot(interval), s -> tagOf(s) == tag ? s + delta : pack(tag, delta));
    }

    void addPrefill(long nowMs, double prefillMs) {
        long ms = Math.round(prefillMs);
        prefillDoneAtMs.updateAndGet(t -> Math.max(t, nowMs) + ms);
    }

    long prefillBacklogMs(long nowMs) {
        return Math.max(nowMs, prefillDoneAtMs.get()) - nowMs;
    }

    int outstanding() {
        return outstanding.get();
    }

    /** Returns sends less finishes from {@code sinceMs} on, as far back as the ring reaches. */
    int netSince(long sinceMs, long nowMs) {
        long last = interval(nowMs);
        int net = 0;
        for (long n = Math.max(interval(sinceMs), last - SLOTS + 1); n <= last; n++) {
            long s = slots.get(slot(n));
            if (tagOf(s) == (int) n) {
                net += countOf(s);
            }
        }
        return net;
    }

    private static long interval(long ms) {
        return Math.floorDiv(ms, INTERVAL_MS);
    }

    private static int slot(long interval) {
        return Math.floorMod(interval, SLOTS);
    }

    /** The count is stored with an offset, so that it never borrows from the tag's bits. */
    private static long pack(int tag, int count) {
        return ((long) tag << Integer.SIZE) + COUNT_ZERO + count;
    }

    /** The low half of the interval's number, which is enough to tell it from a reused slot's. */
    private static int tagOf(long slot) {
        return (int) (slot >> Integer.SIZE);
    }

    private static int countOf(long slot) {
        return (int) ((slot & COUNT_MASK) - COUNT_ZERO);
    }
}
