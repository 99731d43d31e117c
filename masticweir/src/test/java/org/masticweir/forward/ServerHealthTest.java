package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.path.ConnectFailure;

/** Tests which servers are excluded, and for how long. */
class ServerHealthTest {
    private final ForwardFixture fixture = new ForwardFixture().domain("a", 4).domain("b", 4);
    private final ServerHealth health = fixture.health;

    /**
     * When the servers of a domain are lost together, the lost servers are still listed and rank
     * best, because they look idle. Without the suspicion of the domain, a request is sent to
     * several lost servers in turn, while its caller waits.
     */
    @Nested
    class CommonFailureOfDomain {
        CommonFailureOfDomain() {
            health.recordFailure(fixture.byId("a-1"), 1_000);
            health.recordFailure(fixture.byId("a-2"), 1_005);
        }

        @Test
        void marksAllServersOfDomainDown() {
            assertTrue(health.isDown(fixture.byId("a-3"), 1_010));
            assertFalse(health.isDown(fixture.byId("b-1"), 1_010));
        }

        @Test
        void isRememberedUntilStaleEntriesLapse() {
            assertTrue(health.hasRecentlyFailed(fixture.byId("a-3"), 4_000));
            assertFalse(
                    health.hasRecentlyFailed(
                            fixture.byId("a-3"), 1_005 + ServerHealth.RECENT_FAILURE_MS));
        }

        @Test
        void excludesServerThatAnsweredSince() {
            health.recordAnswer(fixture.byId("a-3").incarnation(), 1_020);
            assertFalse(health.isDown(fixture.byId("a-3"), 1_030));
            assertFalse(health.hasRecentlyFailed(fixture.byId("a-3"), 1_030));
        }

        @Test
        void excludesIncarnationListedSince() {
            fixture.servers.add(ForwardFixture.server("a-9", "a"));
            fixture.updateListedServers(2_000);
            assertFalse(health.isDown(fixture.byId("a-9"), 2_001));
        }
    }

    /** A server that refuses all requests looks idle. */
    @Nested
    class Refusals {
        private final ServerIncarnation incarnation = fixture.byId("a-1").incarnation();

        private boolean isDeprioritized(long nowMs) {
            return health.isDeprioritized(fixture.byId("a-1"), nowMs);
        }

        @Test
        void deprioritizeServerButDoNotMarkItDown() {
            assertEquals(
                    ServerHealth.FIRST_DEPRIORITIZED_MS, health.recordRefusal(incarnation, 1_000));
            assertTrue(isDeprioritized(1_299));
            assertFalse(isDeprioritized(1_300));
            assertFalse(health.isDown(fixture.byId("a-1"), 1_000));
        }

        /**
         * All engines refuse some requests in overload. If refusals counted as failures, all copies
         * would be released.
         */
        @Test
        void doNotCountAsFailure() {
            health.recordRefusal(incarnation, 1_000);
            assertFalse(health.hasRecentlyFailed(fixture.byId("a-1"), 1_010));
        }

        @Test
        void inARowDeprioritizeForLonger() {
            health.recordRefusal(incarnation, 1_000);
            assertEquals(600, health.recordRefusal(incarnation, 1_300));
            assertEquals(1_200, health.recordRefusal(incarnation, 1_900));
            for (long ms = 4_000; ms < 60_000; ms += 10_000) {
                health.recordRefusal(incarnation, ms);
            }
            assertEquals(4_800, health.recordRefusal(incarnation, 70_000));
        }

        @Test
        void ofConcurrentRequestsCountOnce() {
            health.recordRefusal(incarnation, 1_000);
            assertEquals(290, health.recordRefusal(incarnation, 1_010));
            assertEquals(600, health.recordRefusal(incarnation, 1_300));
        }

        @Test
        void areClearedByAnswer() {
            health.recordRefusal(incarnation, 1_000);
            health.recordAnswer(incarnation, 1_010);
            assertFalse(isDeprioritized(1_020));
            assertEquals(
                    ServerHealth.FIRST_DEPRIORITIZED_MS, health.recordRefusal(incarnation, 1_030));
        }

        @Test
        void ofTwoServersDoNotMakeDomainSuspect() {
            health.recordRefusal(incarnation, 1_000);
            health.recordRefusal(fixture.byId("a-2").incarnation(), 1_005);
            assertFalse(health.isDeprioritized(fixture.byId("a-3"), 1_010));
        }
    }

    /** One server fails alone. */
    @Nested
    class SingleFailure {
        /** Failure: a router without links tells of sound servers that it does not reach. */
        @Test
        void isOnlyReportedIfOthersConfirmIt() {
            health.recordConnectFailure(fixture.byId("a-1"), ConnectFailure.UNCONFIRMED, 0);
            health.recordConnectFailure(fixture.byId("a-2"), ConnectFailure.NOT_REACHED, 0);
            health.recordConnectFailure(fixture.byId("a-3"), ConnectFailure.NO_PATHS, 0);
            assertTrue(health.isDown(fixture.byId("a-1"), 1));
            assertEquals(0, health.drainFailureReports().size());
            health.recordConnectFailure(fixture.byId("a-1"), ConnectFailure.SERVER_UNREACHABLE, 0);
            assertEquals(1, health.drainFailureReports().size());
        }

        @Test
        void doesNotMakeDomainSuspect() {
            health.recordFailure(fixture.byId("a-1"), 1_000);
            health.recordFailure(fixture.byId("a-1"), 1_010);
            assertFalse(health.isDown(fixture.byId("a-2"), 1_020));
        }

        @Test
        void expiresAfterFirstDownMs() {
            health.recordFailure(fixture.byId("a-1"), 1_000);
            assertTrue(health.isDown(fixture.byId("a-1"), 1_299));
            assertFalse(health.isDown(fixture.byId("a-1"), 1_300));
        }

        @Test
        void isCountedOnceWhileServerIsDown() {
            for (int ms = 1_000; ms < 1_300; ms += 10) {
                health.recordFailure(fixture.byId("a-1"), ms);
            }
            assertFalse(health.isDown(fixture.byId("a-1"), 1_300));
        }
    }

    /** The address of a server belongs to another server. */
    @Nested
    class Gone {
        @Test
        void isPermanent() {
            health.recordServerGone(fixture.byId("a-1"));
            assertTrue(health.isDown(fixture.byId("a-1"), Long.MAX_VALUE / 4));
        }

        @Test
        void isReportedToPeersOnce() {
            health.recordServerGone(fixture.byId("a-1"));
            assertEquals(1, health.drainFailureReports().size());
            assertEquals(0, health.drainFailureReports().size());
        }

        @Test
        void reportedByPeerIsNotForwarded() {
            health.recordPeerReport(fixture.byId("a-1"), true, 5);
            assertEquals(0, health.drainFailureReports().size());
            assertTrue(health.isDown(fixture.byId("a-1"), 6));
        }
    }
}
