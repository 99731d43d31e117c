package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;

/** Which servers are passed over, and for how long. */
class ServerHealthTest {
    private final ForwardWorld world = new ForwardWorld().domain("a", 4).domain("b", 4);
    private final ServerHealth health = world.health;

    /**
     * A caller waits while its request goes from one dead server to the next: a domain lost its
     * servers together, they are still listed, and idle as they are they look best of all.
     */
    @Nested
    class DomainThatFailsTogether {
        DomainThatFailsTogether() {
            health.recordFailure(world.byId("a-1"), 1_000);
            health.recordFailure(world.byId("a-2"), 1_005);
        }

        @Test
        void isPassedOverAsAWhole() {
            assertTrue(health.isDown(world.byId("a-3"), 1_010));
            assertFalse(health.isDown(world.byId("b-1"), 1_010));
        }

        @Test
        void holdsNoCopiesForAsLongAsItsEntriesMayBeStale() {
            assertTrue(health.isDoubtful(world.byId("a-3"), 4_000));
            assertFalse(health.isDoubtful(world.byId("a-3"), 1_005 + ServerHealth.DOUBT_MS));
        }

        @Test
        void isNotHeldAgainstAServerThatAnswersSince() {
            health.recordAnswer(world.byId("a-3").incarnation(), 1_020);
            assertFalse(health.isDown(world.byId("a-3"), 1_030));
            assertFalse(health.isDoubtful(world.byId("a-3"), 1_030));
        }

        @Test
        void isNotHeldAgainstALifeThatBeganSince() {
            world.servers.add(ForwardWorld.server("a-9", "a"));
            world.listed(2_000);
            assertFalse(health.isDown(world.byId("a-9"), 2_001));
        }
    }

    /** A server refuses what comes, and looks idle. */
    @Nested
    class Refusals {
        private final ServerIncarnation life = world.byId("a-1").incarnation();

        private boolean isLastChoice(long nowMs) {
            return health.isLastChoice(world.byId("a-1"), nowMs);
        }

        @Test
        void makeItTheLastChoiceAndNoMore() {
            assertEquals(ServerHealth.FIRST_REFUSED_MS, health.recordRefusal(life, 1_000));
            assertTrue(isLastChoice(1_299));
            assertFalse(isLastChoice(1_300));
            assertFalse(health.isDown(world.byId("a-1"), 1_000));
        }

        /** In overload all engines refuse now and then, and all copies would be given up. */
        @Test
        void leaveItsCopiesAlone() {
            health.recordRefusal(life, 1_000);
            assertFalse(health.isDoubtful(world.byId("a-1"), 1_010));
        }

        @Test
        void inARowDoSoForLonger() {
            health.recordRefusal(life, 1_000);
            assertEquals(600, health.recordRefusal(life, 1_300));
            assertEquals(1_200, health.recordRefusal(life, 1_900));
            for (long ms = 4_000; ms < 60_000; ms += 10_000) {
                health.recordRefusal(life, ms);
            }
            assertEquals(4_800, health.recordRefusal(life, 70_000));
        }

        @Test
        void ofRequestsSentTogetherCountOnce() {
            health.recordRefusal(life, 1_000);
            assertEquals(290, health.recordRefusal(life, 1_010));
            assertEquals(600, health.recordRefusal(life, 1_300));
        }

        @Test
        void endWithAnAnswer() {
            health.recordRefusal(life, 1_000);
            health.recordAnswer(life, 1_010);
            assertFalse(isLastChoice(1_020));
            assertEquals(ServerHealth.FIRST_REFUSED_MS, health.recordRefusal(life, 1_030));
        }

        @Test
        void ofASecondServerAccuseNotItsDomain() {
            health.recordRefusal(life, 1_000);
            health.recordRefusal(world.byId("a-2").incarnation(), 1_005);
            assertFalse(health.isLastChoice(world.byId("a-3"), 1_010));
        }
    }

    /** One server fails alone. */
    @Nested
    class SingleFailure {
        @Test
        void accusesNoOther() {
            health.recordFailure(world.byId("a-1"), 1_000);
            health.recordFailure(world.byId("a-1"), 1_010);
            assertFalse(health.isDown(world.byId("a-2"), 1_020));
        }

        @Test
        void isOverAfterAShortTime() {
            health.recordFailure(world.byId("a-1"), 1_000);
            assertTrue(health.isDown(world.byId("a-1"), 1_299));
            assertFalse(health.isDown(world.byId("a-1"), 1_300));
        }

        @Test
        void countsAsOneWhileItLasts() {
            for (int ms = 1_000; ms < 1_300; ms += 10) {
                health.recordFailure(world.byId("a-1"), ms);
            }
            assertFalse(health.isDown(world.byId("a-1"), 1_300));
        }
    }

    /** The address of a server has changed hands. */
    @Nested
    class Gone {
        @Test
        void neverComesBack() {
            health.recordGone(world.byId("a-1"));
            assertTrue(health.isDown(world.byId("a-1"), Long.MAX_VALUE / 4));
        }

        @Test
        void isToldToPeersOnce() {
            health.recordGone(world.byId("a-1"));
            assertEquals(1, health.drainFailureReports().size());
            assertEquals(0, health.drainFailureReports().size());
        }

        @Test
        void toldByAPeerIsNotToldOn() {
            health.recordPeerReport(world.byId("a-1"), true, 5);
            assertEquals(0, health.drainFailureReports().size());
            assertTrue(health.isDown(world.byId("a-1"), 6));
        }
    }
}
