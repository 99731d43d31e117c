package org.masticweir.retry;

/** First sends and retries of the last ten seconds, by the second; not thread-safe. */
final class SendWindow {
    static final int SLOTS = 10;
    static final long SLOT_MS = 1_000;

    private final int[] firsts = new int[SLOTS];
    private final int[] retries = new int[SLOTS];
    private long lastSlot = Long.MIN_VALUE;
    private int firstSum;
    private int retrySum;

    void addFirst(long nowMs) {
        firsts[advance(nowMs)]++;
        firstSum++;
    }

    void addRetry(long nowMs) {
        retries[advance(nowMs)]++;
        retrySum++;
    }

    /** Takes back a retry that was added at {@code addedMs}, if that still counts. */
    void removeRetry(long addedMs, long nowMs) {
        advance(nowMs);
        long slot = Math.floorDiv(addedMs, SLOT_MS);
        int i = Math.floorMod(slot, SLOTS);
        if (slot > lastSlot - SLOTS && retries[i] > 0) {
            retries[i]--;
            retrySum--;
        }
    }

    int firsts(long nowMs) {
        advance(nowMs);
        return firstSum;
    }

    int retries(long nowMs) {
        advance(nowMs);
        return retrySum;
    }

    /** Clears the slots that have left the window and returns the index of the current one. */
    private int advance(long nowMs) {
        long slot = Math.max(lastSlot, Math.floorDiv(nowMs, SLOT_MS));
        long from = lastSlot < slot - SLOTS ? slot - SLOTS : lastSlot;
        for (long s = from + 1; s <= slot; s++) {
            int i = Math.floorMod(s, SLOTS);
            firstSum -= firsts[i];
            retrySum -= retries[i];
            firsts[i] = 0;
            retries[i] = 0;
        }
        lastSlot = slot;
        return Math.floorMod(slot, SLOTS);
    }
}
