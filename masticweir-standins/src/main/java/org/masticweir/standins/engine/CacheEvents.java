package org.masticweir.standins.engine;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/**
 * The engine's cache events, published late and with gaps.
 *
 * <p>A dropped event uses up its sequence number. Not thread-safe: the engine's lock guards it.
 */
final class CacheEvents {
    private static final int MAX_KEPT = 4096;

    /** What happened to a prefix. */
    enum Kind {
        @JsonProperty("stored")
        STORED,
        @JsonProperty("evicted")
        EVICTED
    }

    /** One event; {@code atMs} is when it happened by the engine's clock. */
    record Event(long seq, Kind kind, String prefix, @JsonIgnore long atMs) {}

    /** The answer to a reader: the events it has not seen, and what to ask for next time. */
    record Page(long next, ImmutableList<Event> events) {}

    private final Deque<Event> kept = new ArrayDeque<>();
    private final long lagMs;
    private final double dropShare;
    private final Random random;
    private long nextSeq = 1;

    private CacheEvents(long lagMs, double dropShare, long seed) {
        this.lagMs = lagMs;
        this.dropShare = dropShare;
        this.random = new Random(seed);
    }

    static CacheEvents of(EngineSettings settings) {
        return new CacheEvents(
                settings.cacheEventLagMs(), settings.cacheEventDrop(), settings.seed());
    }

    void add(Kind kind, String prefix, long nowMs) {
        long seq = nextSeq++;
        if (random.nextDouble() < dropShare) {
            return;
        }
        kept.addLast(new Event(seq, kind, prefix, nowMs));
        if (kept.size() > MAX_KEPT) {
            kept.removeFirst();
        }
    }

    /** Returns the events from sequence number {@code since} on that are old enough to show. */
    Page since(long since, long nowMs) {
        ImmutableList<Event> events =
                kept.stream()
                        .filter(e -> e.seq() >= since && e.atMs() <= nowMs - lagMs)
                        .collect(ImmutableList.toImmutableList());
        long next = events.isEmpty() ? since : events.get(events.size() - 1).seq() + 1;
        return new Page(next, events);
    }
}
