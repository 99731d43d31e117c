package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;

/**
 * A server crashes and starts again under its id, within a second.
 *
 * <p>Its new life is passed over for the failures of the one before, counts as full of requests
 * that died with it, or is asked for a copy that it never had. The cause is that all of this was
 * kept under the id.
 */
class ServerLivesTest {
    private static final ServerIncarnation FIRST = ServerIncarnation.of(EngineId.of("b-1"), 1_000);
    private static final ServerIncarnation SECOND = ServerIncarnation.of(EngineId.of("b-1"), 2_000);

    private final ForwardWorld world = new ForwardWorld().domain("a", 2);
    private final BackendServer before = ForwardWorld.server(FIRST, "b");
    private final BackendServer after = ForwardWorld.server(SECOND, "b");

    private void starts(BackendServer server, long nowMs) {
        world.servers.removeIf(s -> s.id().equals(server.id()));
        world.servers.add(server);
        world.listed(nowMs);
    }

    /** What is held against a life ends with it. */
    @Nested
    class Health {
        @Test
        void ofTheLifeBeforeDoesNotCount() {
            starts(before, 0);
            world.health.recordFailure(before, 100);
            world.health.recordGone(before);
            starts(after, 200);
            assertFalse(world.health.isDown(after, 200));
            assertFalse(world.health.isDoubtful(after, 200));
        }

        @Test
        void isNotHeldAgainstTheNextLifeByALatePeer() {
            starts(before, 0);
            starts(after, 200);
            world.health.recordPeerReport(before, true, 250);
            assertFalse(world.health.isDown(after, 250));
        }
    }

    /** What runs at a life ends with it. */
    @Nested
    class Load {
        @Test
        void ofTheLifeBeforeDoesNotCount() {
            starts(before, 0);
            world.loads.recordPeerLoad(
                    RouterId.of("r2"), FIRST, new ServerLoad(9, 2, 16_000, 80_000));
            starts(after, 200);
            world.loads.retainServers(
                    Set.copyOf(world.servers.stream().map(s -> s.incarnation()).toList()));
            assertEquals(ServerLoad.none(), world.loads.totalLoad(SECOND));
            assertEquals(ServerLoad.none(), world.loads.totalLoad(FIRST));
        }
    }

    /** A copy ends with the life that held it. */
    @Nested
    class Copies {
        @Test
        void areNotAskedForAtTheNextLife() {
            starts(before, 0);
            RequestStateMachine course = world.course(Repeatability.RESUMABLE, 5);
            Step.Send first = (Step.Send) course.next(0);
            assertEquals(FIRST, first.copyHolder().orElseThrow().incarnation());
            course.onEvent(3);
            starts(after, 1_000);
            Step.Send next = (Step.Send) course.onSendLost(first.server(), 1_000);
            assertFalse(next.fromCopy());
            assertEquals(OptionalLong.of(3), next.lastEventId());
        }
    }

    /** An engine's report shows that another life answers. */
    @Nested
    class Reports {
        private boolean isOf(ServerIncarnation life, OptionalLong startedMs) {
            return new EngineReport(Set.of("r"), 1, 0, startedMs).isFrom(life);
        }

        @Test
        void areOfTheLifeThatTheyName() {
            assertTrue(isOf(FIRST, OptionalLong.of(1_000)));
            assertFalse(isOf(FIRST, OptionalLong.of(2_000)));
        }

        @Test
        void areTakenWhereNoStartIsTold() {
            assertTrue(isOf(FIRST, OptionalLong.empty()));
            assertTrue(
                    isOf(
                            ServerIncarnation.ofUnknownStart(EngineId.of("b-1")),
                            OptionalLong.of(2_000)));
        }
    }
}
