package org.masticweir.permits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.RouterId;

/** How much room an issuer grants at a brittle server. */
class RoomIssuerTest {
    private static final PermitKey KEY = new PermitKey("room/i-1");
    private static final int SLOTS = 4;
    private static final double MAX_REJECTIONS = 4;
    private static final RouterId FIRST = RouterId.of("r1");
    private static final RouterId SECOND = RouterId.of("r2");

    /** A time at which the issuer has been the same for long. */
    private static final long NOW = 100_000;

    private final RoomIssuer issuer = new RoomIssuer();

    private static RoomRequest request(int held, int urgency) {
        return new RoomRequest(KEY, held, SLOTS, MAX_REJECTIONS, urgency, false);
    }

    private PermitDecision ask(RouterId router, int held, double fraction, long nowMs) {
        return issuer.decide(router, request(held, 1), fraction, 0, nowMs);
    }

    private boolean isGranted(RouterId router, int held, long nowMs) {
        return ask(router, held, 1, nowMs).isGranted();
    }

    /** Returns how many requests of one router are granted in a row. */
    private int grantsInARow(double fraction, long issuerSinceMs, long nowMs) {
        int granted = 0;
        while (issuer.decide(FIRST, request(granted, 1), fraction, issuerSinceMs, nowMs)
                .isGranted()) {
            granted++;
        }
        return granted;
    }

    private void fill() {
        assertEquals(SLOTS, grantsInARow(1, 0, NOW));
    }

    /** Room without rejections. */
    @Nested
    class Slots {
        @Test
        void areGrantedOnceToAllRoutersTogether() {
            assertTrue(isGranted(FIRST, 0, NOW));
            assertTrue(isGranted(SECOND, 0, NOW));
            assertTrue(isGranted(FIRST, 1, NOW));
            assertTrue(isGranted(SECOND, 1, NOW));
            assertFalse(isGranted(FIRST, 2, NOW));
        }

        @Test
        void areGrantedAgainAfterTheEndOfARequest() {
            fill();
            issuer.recordEnd(FIRST, new RoomReport(KEY, SLOTS - 1, false), NOW);
            assertTrue(isGranted(SECOND, 0, NOW));
        }

        /** Failure: the room of a router that was lost is never used again. */
        @Test
        void ofALostRouterAreGrantedAfterAWhile() {
            fill();
            assertFalse(isGranted(SECOND, 0, NOW + 1_000));
            assertTrue(isGranted(SECOND, 0, NOW + 5_000));
        }

        @Test
        void areLeftToMoreUrgentRequestsThatWereDenied() {
            fill();
            assertFalse(issuer.decide(SECOND, request(0, 0), 1, 0, NOW).isGranted());
            issuer.recordEnd(FIRST, new RoomReport(KEY, SLOTS - 1, false), NOW + 1);
            assertFalse(issuer.decide(FIRST, request(SLOTS - 1, 2), 1, 0, NOW + 2).isGranted());
            assertTrue(issuer.decide(SECOND, request(0, 0), 1, 0, NOW + 2).isGranted());
        }

        /** Failure: both sides of a partition use all slots. */
        @Test
        void areDividedAmongTheSidesOfAPartition() {
            assertEquals(SLOTS / 2, grantsInARow(0.5, 0, NOW));
        }

        /** Failure: a new issuer grants what the previous one has granted already. */
        @Test
        void areHalvedWhileTheIssuerIsNew() {
            assertEquals(SLOTS / 2, grantsInARow(1, NOW - 10, NOW));
        }
    }

    /** Room after rejections. */
    @Nested
    class Rejections {
        @Test
        void lowerTheLimit() {
            fill();
            issuer.recordEnd(FIRST, new RoomReport(KEY, SLOTS - 1, true), NOW);
            assertFalse(isGranted(SECOND, 0, NOW + 1));
        }

        @Test
        void areForgottenSlowly() {
            fill();
            issuer.recordEnd(FIRST, new RoomReport(KEY, 0, true), NOW);
            assertTrue(grantsInARow(1, 0, NOW + 2_000) < SLOTS);
            assertEquals(SLOTS, grantsInARow(1, 0, NOW + 60_000));
        }

        /** Failure: a server gets more requests to reject than it bears in a second. */
        @Test
        void stopAllGrantsForASecondAfterHalfOfWhatTheServerBears() {
            issuer.recordEnd(FIRST, new RoomReport(KEY, 0, true), NOW);
            assertTrue(isGranted(SECOND, 0, NOW));
            issuer.recordEnd(FIRST, new RoomReport(KEY, 0, true), NOW);
            assertFalse(isGranted(SECOND, 0, NOW + 999));
            assertTrue(ask(SECOND, 0, 1, NOW + 400).retryAfterMs() >= 600);
            assertTrue(isGranted(SECOND, 0, NOW + 1_001));
        }
    }
}
