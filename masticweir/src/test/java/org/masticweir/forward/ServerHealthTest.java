package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerLife;

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
            health.failed(world.byId("a-1"), 1_000);
            health.failed(world.byId("a-2"), 1_005);
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
            health.answered(world.byId("a-3").life(), 1_020);
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
        private final ServerLife life = world.byId("a-1").life();

        private boolean isLastChoice(long nowMs) {
            return health.isLastChoice(world.byId("a-1"), nowMs);
        }

        @Test
        void makeItTheLastChoiceAndNoMore() {
            assertEquals(ServerHealth.FIRST_REFUSED_MS, health.refused(life, 1_000));
            assertTrue(isLastChoice(1_299));
            assertFalse(isLastChoice(1_300));
            assertFalse(health.isDown(world.byId("a-1"), 1_000));
        }

        /** In overload all engines refuse now and then, and all copies would be given up. */
        @Test
        void leaveItsCopiesAlone() {
            health.refused(life, 1_000);
            assertFalse(health.isDoubtful(world.byId("a-1"), 1_010));
        }

        @Test
        void inARowDoSoForLonger() {
            health.refused(life, 1_000);
            assertEquals(600, health.refused(life, 1_300));
            assertEquals(1_200, health.refused(life, 1_900));
            for (long ms = 4_000; ms < 60_000; ms += 10_000) {
                health.refused(life, ms);
            }
            assertEquals(4_800, health.refused(life, 70_000));
        }

        @Test
        void ofRequestsSentTogetherCountOnce() {
            health.refused(life, 1_000);
            assertEquals(290, health.refused(life, 1_010));
            assertEquals(600, health.refused(life, 1_300));
        }

        @Test
        void endWithAnAnswer() {
            health.refused(life, 1_000);
            health.answered(life, 1_010);
            assertFalse(isLastChoice(1_020));
            assertEquals(ServerHealth.FIRST_REFUSED_MS, health.refused(life, 1_030));
        }

        @Test
        void ofASecondServerAccuseNotItsDomain() {
            health.refused(life, 1_000);
            health.refused(world.byId("a-2").life(), 1_005);
            assertFalse(health.isLastChoice(world.byId("a-3"), 1_010));
        }
    }

    /** One server fails alone. */
    @Nested
    class SingleFailure {
        @Test
        void accusesNoOther() {
            health.failed(world.byId("a-1"), 1_000);
            health.failed(world.byId("a-1"), 1_010);
            assertFalse(health.isDown(world.byId("a-2"), 1_020));
        }

        @Test
        void isOverAfterAShortTime() {
            health.failed(world.byId("a-1"), 1_000);
            assertTrue(health.isDown(world.byId("a-1"), 1_299));
            assertFalse(health.isDown(world.byId("a-1"), 1_300));
        }

        @Test
        void countsAsOneWhileItLasts() {
            for (int ms = 1_000; ms < 1_300; ms += 10) {
                health.failed(world.byId("a-1"), ms);
            }
            assertFalse(health.isDown(world.byId("a-1"), 1_300));
        }
    }

    /** The address of a server has changed hands. */
    @Nested
    class Gone {
        @Test
        void neverComesBack() {
            health.gone(world.byId("a-1"));
            assertTrue(health.isDown(world.byId("a-1"), Long.MAX_VALUE / 4));
        }

        @Test
        void isToldToPeersOnce() {
            health.gone(world.byId("a-1"));
            assertEquals(1, health.takeNews().size());
            assertEquals(0, health.takeNews().size());
        }

        @Test
        void toldByAPeerIsNotToldOn() {
            health.peerTold(world.byId("a-1"), true, 5);
            assertEquals(0, health.takeNews().size());
            assertTrue(health.isDown(world.byId("a-1"), 6));
        }
    }
}
