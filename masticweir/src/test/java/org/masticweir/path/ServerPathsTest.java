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
        servers.subList(0, count).forEach(s -> paths.recordDirectFailure(s, 0));
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
            paths.recordDirectFailure(server, 0);
            assertFalse(paths.mustUsePeer(server, 0));
        }

        @Test
        void isNotUsedIfAnotherRouterReachesTheServer() {
            paths.recordDirectFailure(server, 0);
            paths.recordPeerSuccess(server, 0);
            assertTrue(paths.mustUsePeer(server, ServerPaths.FIRST_BROKEN_MS - 1));
            assertFalse(paths.mustUsePeer(servers.get(1), 0));
        }

        @Test
        void isTriedAgainWithinASecondHoweverOftenItFailed() {
            long now = 0;
            for (int i = 0; i < 5; i++) {
                paths.recordDirectFailure(server, 0);
                paths.recordPeerSuccess(server, now);
                now += 1_000;
                assertFalse(paths.mustUsePeer(server, now));
            }
        }

        @Test
        void isUsedAtOnceAfterASuccess() {
            paths.recordDirectFailure(server, 0);
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
                paths.recordDirectFailure(servers.get(0), 0);
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
            paths.recordUnreachable(servers.get(0), 0);
            paths.recordUnreachable(servers.get(1), 0);
            paths.recordUnreachable(servers.get(2), 0);
            assertFalse(paths.areAllLost());
            assertFalse(paths.areDoubtful());
        }

        /** Failure: servers that ended are tried again, and pass for lost paths. */
        @Test
        void areNotLostByMoreFailuresOfServersThatEnded() {
            for (ServerIncarnation server : servers.subList(0, 5)) {
                paths.recordUnreachable(server, 0);
            }
            servers.subList(0, 5).forEach(s -> paths.recordDirectFailure(s, 1));
            assertFalse(paths.areAllLost());
            assertFalse(paths.areDoubtful());
            assertTrue(paths.isUnreachable(servers.get(0), 1));
        }

        /** Failure: while a few servers have ended, the loss of all paths is not noticed. */
        @Test
        void areLostOnceAllServersFailThatHaveNotEnded() {
            paths.retainServers(first(4));
            paths.recordUnreachable(servers.get(0), 0);
            servers.subList(0, 3).forEach(s -> paths.recordDirectFailure(s, 1));
            assertFalse(paths.areAllLost());
            paths.recordDirectFailure(servers.get(3), 1);
            assertTrue(paths.areAllLost());
        }

        /** Failure: a cut-off router without links never finds that its paths are lost. */
        @Test
        void areLostThoughNoOtherRouterCouldTell() {
            first(4).forEach(s -> paths.recordUnconfirmed(s));
            failAt(4);
            assertTrue(paths.areAllLost());
        }

        @Test
        void areLostByFailuresLongAfterServersWereUnreachable() {
            first(4).forEach(s -> paths.recordUnreachable(s, 0));
            first(4).forEach(s -> paths.recordDirectFailure(s, ServerPaths.UNREACHABLE_MS));
            assertTrue(paths.areAllLost());
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
