package org.masticweir.peer;

import java.util.Random;

/**
 * Growing waits between attempts to dial one peer; owned by the links' thread.
 *
 * <p>When a domain comes back all its peers dial at once; without jitter they would go on doing so
 * in step. Each wait is drawn from the upper half of its span.
 */
final class Backoff {
    private final int minMs;
    private final int maxMs;
    private final Random random;
    private long spanMs;

    Backoff(int minMs, int maxMs, long seed) {
        this.minMs = minMs;
        this.maxMs = maxMs;
        random = new Random(seed);
        spanMs = minMs;
    }

    /** Returns the next wait in ms and doubles the span for the one after. */
    long nextMs() {
        long half = spanMs / 2;
        long ms = half + random.nextInt((int) (spanMs - half) + 1);
        spanMs = Math.min(maxMs, 2 * spanMs);
        return ms;
    }

    void reset() {
        spanMs = minMs;
    }
}
