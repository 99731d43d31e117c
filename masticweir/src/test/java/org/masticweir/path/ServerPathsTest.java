package org.masticweir.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.EngineId;

/** Guards against broken paths that pass for failed servers, and the reverse. */
class ServerPathsTest {
    private final List<ServerIncarnation> servers =
            IntStream.range(0, 6)
                    .mapToObj(i -> ServerIncarnation.of(EngineId.of("e" + i), 0))
                    .toList();
    private final ServerPaths paths = ServerPaths.create();

    ServerPathsTest() {
        paths.retainServers(Set.copyOf(servers));
    }

    private void failAt(int count) {
        servers.subList(0, count).forEach(paths::recordDirectFailure);
    }

    private Set<ServerIncarnation> first(int count) {
        return servers.stream().limit(count).collect(Collectors.toSet());
    }

    /** The path to one server. */
    @Nested
    class OnePath {
        private final ServerIncarnation server = servers.get(0);

        @Test
        void isUsedAfterFailureThatNobodyContradicts() {
            paths.recordDirectFailure(server);
            assertFalse(paths.mustUsePeer(server, 0));
        }

        @Test
        void isNotUsedIfAnotherRouterReachesTheServer() {
            paths.recordDirectFailure(server);
            paths.recordPeerSuccess(server, 0);
            assertTrue(paths.mustUsePeer(server, ServerPaths.FIRST_BROKEN_MS - 1));
            assertFalse(paths.mustUsePeer(servers.get(1), 0));
        }

        @Test
        void isTriedAgainWithinASecondHoweverOftenItFailed() {
            long now = 0;
            for (int i = 0; i < 5; i++) {
                paths.recordDirectFailure(server);
                paths.recordPeerSuccess(server, now);
                now += 1_000;
                assertFalse(paths.mustUsePeer(server, now));
            }
        }

        @Test
        void isUsedAtOnceAfterASuccess() {
            paths.recordDirectFailure(server);
            paths.recordPeerSuccess(server, 0);
            paths.recordDirectSuccess(server);
            assertFalse(paths.mustUsePeer(server, 1));
            assertEquals(0, paths.brokenPathCount(1));
        }

        @Test
        void isNotBrokenByTunnelsWithoutAFailure() {
            paths.recordPeerSuccess(server, 0);
            assertFalse(paths.mustUsePeer(server, 1));
        }
    }

    /** The paths to all servers. */
    @Nested
    class AllPaths {
        @Test
        void areLostAfterFailuresAtSeveralServers() {
            failAt(ServerPaths.LOST_FROM_SERVERS - 1);
            assertFalse(paths.areAllLost());
            assertTrue(paths.areDoubtful());
            failAt(ServerPaths.LOST_FROM_SERVERS);
            assertTrue(paths.areAllLost());
            assertTrue(paths.mustUsePeer(servers.get(5), 0));
        }

        @Test
        void areNotLostByOneServerThatFailsOften() {
            for (int i = 0; i < 10; i++) {
                paths.recordDirectFailure(servers.get(0));
            }
            assertFalse(paths.areAllLost());
            assertFalse(paths.areDoubtful());
        }

        @Test
        void areBackAfterOneSuccess() {
            failAt(5);
            paths.recordDirectSuccess(servers.get(5));
            assertFalse(paths.areAllLost());
        }

        /** Failure: requests go through other routers for a second after the paths are back. */
        @Test
        void areAllUsedAfterOneSuccess() {
            failAt(4);
            paths.recordPeerSuccess(servers.get(0), 0);
            paths.recordDirectSuccess(servers.get(5));
            assertFalse(paths.mustUsePeer(servers.get(0), 1));
        }

        @Test
        void areNotLostIfOtherRoutersDoNotReachTheServersEither() {
            failAt(4);
            paths.recordUnreachable(servers.get(0));
            paths.recordUnreachable(servers.get(1));
            paths.recordUnreachable(servers.get(2));
            assertFalse(paths.areAllLost());
            assertFalse(paths.areDoubtful());
        }

        @Test
        void areLostWithFewServersOnceAllFailed() {
            paths.retainServers(first(2));
            failAt(1);
            assertFalse(paths.areAllLost());
            failAt(2);
            assertTrue(paths.areAllLost());
        }

        @Test
        void areNotLostByServersThatAreNoLongerListed() {
            failAt(4);
            paths.retainServers(Set.of(servers.get(4), servers.get(5)));
            assertFalse(paths.areAllLost());
        }
    }
}
