package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.EngineId;

/** Tests the notices of servers. */
class ServerNoticesTest {
    private static final ServerIncarnation FIRST = ServerIncarnation.of(EngineId.of("i-1"), 1_000);
    private static final ServerIncarnation SECOND = ServerIncarnation.of(EngineId.of("i-1"), 2_000);

    private final ServerNotices notices = ServerNotices.create();

    /** A server announces that it is leaving. */
    @Nested
    class Leaving {
        @Test
        void isReportedAsNewOnce() {
            assertTrue(notices.recordLeaving(FIRST, 0));
            assertFalse(notices.recordLeaving(FIRST, 0));
            assertTrue(notices.isLeaving(FIRST));
        }

        @Test
        void appliesToOneIncarnation() {
            notices.recordLeaving(FIRST, 0);
            assertFalse(notices.isLeaving(SECOND));
        }

        /**
         * The entry of a server may expire while the store is unavailable, and reappear unchanged.
         */
        @Test
        void survivesLapseOfEntry() {
            notices.recordLeaving(FIRST, 0);
            notices.updateListedServers(Set.of(FIRST), 5_000);
            notices.updateListedServers(Set.of(), 5_000 + ServerNotices.MAX_ABSENCE_MS);
            assertTrue(notices.isLeaving(FIRST));
            notices.updateListedServers(Set.of(FIRST), 6_000 + ServerNotices.MAX_ABSENCE_MS);
            assertTrue(notices.isLeaving(FIRST));
        }

        @Test
        void isForgottenAfterMaxAbsence() {
            notices.recordLeaving(FIRST, 0);
            notices.updateListedServers(Set.of(), ServerNotices.MAX_ABSENCE_MS + 1);
            assertFalse(notices.isLeaving(FIRST));
        }
    }

    /** A server announces a pause. */
    @Nested
    class Pause {
        @Test
        void expires() {
            assertTrue(notices.recordPause(FIRST, 3_000, 100));
            assertEquals(3_000, notices.remainingPauseMs(FIRST, 100));
            assertEquals(1, notices.remainingPauseMs(FIRST, 3_099));
            assertEquals(0, notices.remainingPauseMs(FIRST, 3_100));
        }

        @Test
        void isNotShortenedByAnotherAnswer() {
            notices.recordPause(FIRST, 3_000, 0);
            assertFalse(notices.recordPause(FIRST, 200, 10));
            assertEquals(2_990, notices.remainingPauseMs(FIRST, 10));
        }

        @Test
        void isExtendedByAnotherAnswer() {
            notices.recordPause(FIRST, 3_000, 0);
            assertFalse(notices.recordPause(FIRST, 3_000, 400));
            assertEquals(3_000, notices.remainingPauseMs(FIRST, 400));
        }

        @Test
        void mayStartAgain() {
            notices.recordPause(FIRST, 3_000, 0);
            assertTrue(notices.recordPause(FIRST, 3_000, 3_000));
        }

        @Test
        void isBounded() {
            notices.recordPause(FIRST, Long.MAX_VALUE, 0);
            assertEquals(ServerNotices.MAX_PAUSE_MS, notices.remainingPauseMs(FIRST, 0));
        }

        @Test
        void appliesToOneIncarnation() {
            notices.recordPause(FIRST, 3_000, 0);
            assertEquals(0, notices.remainingPauseMs(SECOND, 0));
        }
    }
}
