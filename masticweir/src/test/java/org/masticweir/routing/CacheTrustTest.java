package org.masticweir.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.EngineId;
import org.masticweir.routing.CacheEvent.Kind;

/** Tests what cache events that are late or missing leave believed. */
class CacheTrustTest {
    private static final EngineId E = EngineId.of("e1");
    private final CacheTrust trust = CacheTrust.create();

    private static CacheEvent stored(long seq, String prefix) {
        return new CacheEvent(seq, Kind.STORED, prefix);
    }

    private static CacheEvent evicted(long seq, String prefix) {
        return new CacheEvent(seq, Kind.EVICTED, prefix);
    }

    private double trust() {
        return trust.hints(E, 0).trust();
    }

    private Set<String> prefixes() {
        return trust.hints(E, 0).prefixes();
    }

    /** Events are missing. */
    @Nested
    class Gaps {
        @Test
        void lowerTrustAndSeenEventsRestoreIt() {
            trust.polled(E, 3, List.of(stored(1, "a"), stored(2, "b")), 0);
            double before = trust();
            trust.polled(E, 9, List.of(stored(8, "c")), 0);
            double after = trust();
            assertTrue(after < before, after + " not below " + before);
            for (int seq = 9; seq < 200; seq++) {
                trust.polled(E, seq + 1, List.of(stored(seq, "p" + seq)), 0);
            }
            assertTrue(trust() > 0.9, "trust " + trust());
            assertTrue(trust.hints(E, 60_000).trust() < 0.2);
        }
    }

    /** Events arrive after newer ones. */
    @Nested
    class LateEvents {
        @Test
        void neverUndoNewerOnes() {
            trust.polled(E, 6, List.of(stored(5, "a"), stored(3, "b")), 0);
            trust.polled(E, 6, List.of(evicted(4, "a"), evicted(4, "b"), stored(1, "c")), 0);
            assertEquals(Set.of("a"), prefixes());
        }
    }

    /** The engine starts over with an empty cache. */
    @Nested
    class Restart {
        @Test
        void dropsWhatWasBelieved() {
            trust.polled(E, 50, List.of(stored(49, "a")), 0);
            trust.polled(E, 2, List.of(stored(1, "b")), 0);
            assertEquals(Set.of("b"), prefixes());
            assertEquals(2, trust.nextSeq(E));
        }
    }
}
