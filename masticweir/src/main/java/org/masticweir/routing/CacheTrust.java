package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.Comparator.comparingLong;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticweir.id.EngineId;

/**
 * Follows the engines' cache events and says how far the picture they give can be relied on.
 *
 * <p>Failure guarded against: events come late and some never come, so a prefix believed stored may
 * be gone. Every gap in the sequence lowers trust, seen events restore it slowly, and silence wears
 * it down. Trust weighs cached tokens when engines are compared and does nothing else: a wrong hint
 * costs prefill time, never a wrong answer.
 *
 * <p>Not thread-safe: owned by the control thread. {@link CacheHints} may be published.
 */
public final class CacheTrust {
    /** Time without a successful poll after which trust has fallen to 1/e, in ms. */
    private static final double SILENCE_DECAY_MS = 30_000;

    private final Map<EngineId, CachePicture> engines = new HashMap<>();

    private CacheTrust() {}

    public static CacheTrust create() {
        return new CacheTrust();
    }

    /**
     * Takes one poll's events, possibly none, of {@code engine}.
     *
     * @param next the sequence number that the engine will give to its next event
     */
    public void polled(EngineId engine, long next, List<CacheEvent> events, long nowMs) {
        checkNotNull(engine, "engine");
        checkNotNull(events, "events");
        CachePicture picture = engines.computeIfAbsent(engine, id -> new CachePicture());
        picture.startPoll(next, nowMs);
        ImmutableList.sortedCopyOf(comparingLong(CacheEvent::seq), events).forEach(picture::apply);
        picture.endPoll(next);
    }

    /** Returns what {@code engine} is believed to hold. */
    public CacheHints hints(EngineId engine, long nowMs) {
        CachePicture picture = engines.get(checkNotNull(engine, "engine"));
        if (picture == null) {
            return CacheHints.none();
        }
        double silence = Math.exp(-picture.silentMs(nowMs) / SILENCE_DECAY_MS);
        return new CacheHints(picture.prefixes(), picture.trust() * silence);
    }

    /** Returns the sequence number to ask {@code engine} for events since. */
    public long nextSeq(EngineId engine) {
        CachePicture picture = engines.get(checkNotNull(engine, "engine"));
        return picture == null ? 0 : picture.nextSeq();
    }

    /** Forgets all engines outside {@code known}. */
    public void retain(Set<EngineId> known) {
        engines.keySet().retainAll(checkNotNull(known, "known"));
    }
}
