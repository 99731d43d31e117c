package org.masticweir.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/** Which router carries a tunnel. */
class TunnelPeersTest {
    private static final long SEED = 7;
    private static final int TUNNELS = 90;

    private final TunnelPeers peers = new TunnelPeers(DomainId.of("own"), new Random(SEED));

    private static RouterId id(String name) {
        return RouterId.of(name);
    }

    private void offer(String router, String domain, boolean isOpen) {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), router.hashCode() & 0xfff);
        peers.recordOffer(id(router), new TunnelOffer(address, "0f", DomainId.of(domain), isOpen));
    }

    private Optional<RouterId> select() {
        return peers.select(Set.of(), 0);
    }

    /** Peers that may not be chosen. */
    @Nested
    class Unusable {
        @Test
        void withoutOffersNobodyIsChosen() {
            assertEquals(Optional.empty(), select());
            assertTrue(peers.isEmpty());
        }

        @Test
        void isARouterThatLostItsPathsToo() {
            offer("near", "own", false);
            assertEquals(Optional.empty(), select());
            assertFalse(peers.isAnyOpen(0));
        }

        @Test
        void isARouterThatWasAskedBefore() {
            offer("near", "own", true);
            assertEquals(Optional.empty(), peers.select(Set.of(id("near")), 0));
        }

        /** Failure: one late reply of the only peer leaves a router without a way for a second. */
        @Test
        void isARouterThatFailedOnlyWhileThereAreOthers() {
            offer("near", "own", true);
            peers.recordFailure(id("near"), 0);
            assertFalse(peers.isAnyOpen(0));
            assertEquals(Optional.of(id("near")), select());
            offer("far", "other", true);
            assertEquals(Optional.of(id("far")), select());
            assertEquals(Optional.of(id("near")), peers.select(Set.of(id("far")), 0));
            assertEquals(Optional.of(id("near")), peers.select(Set.of(), TunnelPeers.FAILED_MS));
        }

        @Test
        void isARouterThatFailedAndLostItsPaths() {
            offer("near", "own", true);
            peers.recordFailure(id("near"), 0);
            offer("near", "own", false);
            assertEquals(Optional.empty(), select());
        }

        @Test
        void isARouterWhoseLinkIsDown() {
            offer("near", "own", true);
            peers.remove(id("near"));
            assertEquals(Optional.empty(), select());
        }
    }

    /** The choice among usable peers. */
    @Nested
    class Choice {
        @Test
        void prefersTheOwnDomain() {
            offer("far", "other", true);
            offer("near", "own", true);
            for (int i = 0; i < 10; i++) {
                assertEquals(Optional.of(id("near")), select());
            }
        }

        @Test
        void leavesTheOwnDomainIfItsRoutersCarryManyTunnels() {
            offer("far", "other", true);
            offer("near", "own", true);
            for (int i = 0; i < TunnelPeers.MAX_TUNNELS_PER_PEER; i++) {
                peers.recordOpened(id("near"));
            }
            assertEquals(Optional.of(id("far")), select());
            peers.recordClosed(id("near"));
            assertEquals(Optional.of(id("near")), select());
        }

        /** Failure: all partitioned routers of a domain use the same peer. */
        @Test
        void spreadsTunnelsOverPeers() {
            offer("a", "own", true);
            offer("b", "own", true);
            offer("c", "own", true);
            Map<RouterId, Integer> counts = new HashMap<>();
            for (int i = 0; i < TUNNELS; i++) {
                RouterId chosen = select().orElseThrow();
                peers.recordOpened(chosen);
                counts.merge(chosen, 1, Integer::sum);
            }
            counts.values().forEach(n -> assertTrue(n >= TUNNELS / 3 - 6, counts.toString()));
        }

        @Test
        void usesANewOfferOfTheSameRouter() {
            offer("near", "own", true);
            peers.recordFailure(id("near"), 0);
            offer("near", "own", true);
            assertEquals(Optional.of(id("near")), select());
        }
    }
}
