package org.masticweir.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** What the events of one engine's cache told so far; not thread-safe. */
final class CachePicture {
    /** Prefixes remembered for one engine; the oldest are dropped first. */
    private static final int MAX_PREFIXES = 512;

    /** What one missed event leaves of the trust. */
    private static final double KEPT_AFTER_MISS = 0.9;

    /** Share of the missing trust that one event seen in order restores. */
    private static final double GAINED_BY_EVENT = 0.02;

    /** Trust before anything is known. */
    private static final double INITIAL_TRUST = 0.5;

    private final Map<String, Long> storedAtSeq = new LinkedHashMap<>();
    private double trust = INITIAL_TRUST;
    private long nextSeq = -1;
    private long polledAtMs;

    /**
     * Failure guarded against: an engine restarts with an empty cache and counts its events anew;
     * it shows as a next number below the one seen before. Everything believed is dropped.
     */
    void startPoll(long next, long nowMs) {
        polledAtMs = nowMs;
        if (next < nextSeq) {
            storedAtSeq.clear();
            nextSeq = -1;
            trust = INITIAL_TRUST;
        }
    }

    void apply(CacheEvent event) {
        if (nextSeq >= 0 && event.seq() < nextSeq) {
            applyLate(event);
            return;
        }
        missed(nextSeq < 0 ? 0 : event.seq() - nextSeq);
        trust += (1 - trust) * GAINED_BY_EVENT;
        nextSeq = event.seq() + 1;
        switch (event.kind()) {
            case STORED -> store(event);
            case EVICTED -> storedAtSeq.remove(event.prefix());
            default -> throw new IllegalStateException("kind " + event.kind());
        }
    }

    /** Takes note of events that the engine counted and the poll did not bring. */
    void endPoll(long next) {
        if (nextSeq >= 0) {
            missed(next - nextSeq);
        }
        nextSeq = Math.max(nextSeq, next);
    }

    double trust() {
        return trust;
    }

    Set<String> prefixes() {
        return storedAtSeq.keySet();
    }

    /** Returns the sequence number of the first event not yet seen. */
    long nextSeq() {
        return Math.max(0, nextSeq);
    }

    long silentMs(long nowMs) {
        return Math.max(0, nowMs - polledAtMs);
    }

    /** A late eviction still counts unless the prefix was stored after it; a late store is void. */
    private void applyLate(CacheEvent event) {
        if (event.kind() == CacheEvent.Kind.EVICTED) {
            storedAtSeq.computeIfPresent(
                    event.prefix(), (p, seq) -> seq > event.seq() ? seq : null);
        }
    }

    private void store(CacheEvent event) {
        storedAtSeq.remove(event.prefix());
        storedAtSeq.put(event.prefix(), event.seq());
        if (storedAtSeq.size() > MAX_PREFIXES) {
            storedAtSeq.remove(storedAtSeq.keySet().iterator().next());
        }
    }

    private void missed(long events) {
        if (events > 0) {
            trust *= Math.pow(KEPT_AFTER_MISS, events);
        }
    }
}
