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
 * Tests a server that crashes and restarts with the same id within a second.
 *
 * <p>If state were stored by id, the new incarnation would inherit the state of the previous
 * incarnation: the exclusion after failures, the load of lost requests and the copies.
 */
class ServerIncarnationTest {
    private static final ServerIncarnation FIRST = ServerIncarnation.of(EngineId.of("b-1"), 1_000);
    private static final ServerIncarnation SECOND = ServerIncarnation.of(EngineId.of("b-1"), 2_000);

    private final ForwardFixture fixture = new ForwardFixture().domain("a", 2);
    private final BackendServer previousServer = ForwardFixture.server(FIRST, "b");
    private final BackendServer nextServer = ForwardFixture.server(SECOND, "b");

    private void start(BackendServer server, long nowMs) {
        fixture.servers.removeIf(s -> s.id().equals(server.id()));
        fixture.servers.add(server);
        fixture.updateListedServers(nowMs);
    }

    /** Failures apply to one incarnation only. */
    @Nested
    class Health {
        @Test
        void ofPreviousIncarnationDoesNotCount() {
            start(previousServer, 0);
            fixture.health.recordFailure(previousServer, 100);
            fixture.health.recordServerGone(previousServer);
            start(nextServer, 200);
            assertFalse(fixture.health.isDown(nextServer, 200));
            assertFalse(fixture.health.hasRecentlyFailed(nextServer, 200));
        }

        @Test
        void isNotAffectedByLatePeerReport() {
            start(previousServer, 0);
            start(nextServer, 200);
            fixture.health.recordPeerReport(previousServer, true, 250);
            assertFalse(fixture.health.isDown(nextServer, 250));
        }
    }

    /** Load applies to one incarnation only. */
    @Nested
    class Load {
        @Test
        void ofPreviousIncarnationDoesNotCount() {
            start(previousServer, 0);
            fixture.loads.recordPeerLoad(
                    RouterId.of("r2"), FIRST, new ServerLoad(9, 2, 16_000, 80_000));
            start(nextServer, 200);
            fixture.loads.retainServers(
                    Set.copyOf(fixture.servers.stream().map(s -> s.incarnation()).toList()));
            assertEquals(ServerLoad.none(), fixture.loads.totalLoad(SECOND));
            assertEquals(ServerLoad.none(), fixture.loads.totalLoad(FIRST));
        }
    }

    /** A copy is lost with the incarnation that held it. */
    @Nested
    class Copies {
        @Test
        void areNotExpectedAtNextIncarnation() {
            start(previousServer, 0);
            RequestStateMachine machine = fixture.stateMachine(Repeatability.RESUMABLE, 5);
            Step.Send first = (Step.Send) machine.next(0);
            assertEquals(FIRST, first.copyHolder().orElseThrow().incarnation());
            machine.onEvent(3);
            start(nextServer, 1_000);
            Step.Send next = (Step.Send) machine.onSendLost(first.server(), 1_000);
            assertFalse(next.fromCopy());
            assertEquals(OptionalLong.of(3), next.lastEventId());
        }
    }

    /** An engine's report shows that another incarnation answers. */
    @Nested
    class Reports {
        private boolean isOf(ServerIncarnation incarnation, OptionalLong startedMs) {
            return new EngineReport(Set.of("r"), 1, 0, startedMs).isFrom(incarnation);
        }

        @Test
        void matchIncarnationWithSameStart() {
            assertTrue(isOf(FIRST, OptionalLong.of(1_000)));
            assertFalse(isOf(FIRST, OptionalLong.of(2_000)));
        }

        @Test
        void matchAnyIncarnationIfStartIsUnknown() {
            assertTrue(isOf(FIRST, OptionalLong.empty()));
            assertTrue(
                    isOf(
                            ServerIncarnation.ofUnknownStart(EngineId.of("b-1")),
                            OptionalLong.of(2_000)));
        }
    }
}
