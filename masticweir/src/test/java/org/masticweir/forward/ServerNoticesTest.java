package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerLife;
import org.masticweir.id.EngineId;

/** What servers have asked of a router. */
class ServerNoticesTest {
    private static final ServerLife FIRST = ServerLife.of(EngineId.of("i-1"), 1_000);
    private static final ServerLife SECOND = ServerLife.of(EngineId.of("i-1"), 2_000);

    private final ServerNotices notices = ServerNotices.create();

    /** A server leaves. */
    @Nested
    class Leaving {
        @Test
        void isNewOnce() {
            assertTrue(notices.leaves(FIRST, 0));
            assertFalse(notices.leaves(FIRST, 0));
            assertTrue(notices.isLeaving(FIRST));
        }

        @Test
        void holdsForOneLife() {
            notices.leaves(FIRST, 0);
            assertFalse(notices.isLeaving(SECOND));
        }

        /** Its entry lapses while the store is away, and comes back as it was. */
        @Test
        void outlastsALapseOfItsEntry() {
            notices.leaves(FIRST, 0);
            notices.listed(Set.of(FIRST), 5_000);
            notices.listed(Set.of(), 5_000 + ServerNotices.ABSENT_MS);
            assertTrue(notices.isLeaving(FIRST));
            notices.listed(Set.of(FIRST), 6_000 + ServerNotices.ABSENT_MS);
            assertTrue(notices.isLeaving(FIRST));
        }

        @Test
        void isForgottenOnceTheListHasLackedItForLong() {
            notices.leaves(FIRST, 0);
            notices.listed(Set.of(), ServerNotices.ABSENT_MS + 1);
            assertFalse(notices.isLeaving(FIRST));
        }
    }

    /** A server wants no requests for a while. */
    @Nested
    class Pause {
        @Test
        void endsWithItsTime() {
            assertTrue(notices.pauses(FIRST, 3_000, 100));
            assertEquals(3_000, notices.pausedForMs(FIRST, 100));
            assertEquals(1, notices.pausedForMs(FIRST, 3_099));
            assertEquals(0, notices.pausedForMs(FIRST, 3_100));
        }

        @Test
        void isNotShortenedByAnotherAnswer() {
            notices.pauses(FIRST, 3_000, 0);
            assertFalse(notices.pauses(FIRST, 200, 10));
            assertEquals(2_990, notices.pausedForMs(FIRST, 10));
        }

        @Test
        void isProlongedByAnotherAnswer() {
            notices.pauses(FIRST, 3_000, 0);
            assertFalse(notices.pauses(FIRST, 3_000, 400));
            assertEquals(3_000, notices.pausedForMs(FIRST, 400));
        }

        @Test
        void mayBeginAgain() {
            notices.pauses(FIRST, 3_000, 0);
            assertTrue(notices.pauses(FIRST, 3_000, 3_000));
        }

        @Test
        void isBounded() {
            notices.pauses(FIRST, Long.MAX_VALUE, 0);
            assertEquals(ServerNotices.MAX_PAUSE_MS, notices.pausedForMs(FIRST, 0));
        }

        @Test
        void holdsForOneLife() {
            notices.pauses(FIRST, 3_000, 0);
            assertEquals(0, notices.pausedForMs(SECOND, 0));
        }
    }
}
