package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/** Tests {@link RendezvousRanking}. */
final class RendezvousRankingTest {
    private static final DomainId D1 = DomainId.of("d1");
    private static final DomainId D2 = DomainId.of("d2");

    private static Map<RouterId, DomainId> routers(int perDomain) {
        ImmutableMap.Builder<RouterId, DomainId> all = ImmutableMap.builder();
        for (int i = 0; i < perDomain; i++) {
            all.put(RouterId.of("d1-" + i), D1);
            all.put(RouterId.of("d2-" + i), D2);
        }
        return all.buildOrThrow();
    }

    private static RequestId request(int i) {
        return RequestId.of("request-" + i);
    }

    @Test
    void ownDomainComesFirstAndTheOwnerNever() {
        RouterId owner = RouterId.of("d1-0");
        List<RouterId> holders =
                RendezvousRanking.of(() -> routers(3), D1).holdersFor(request(1), owner, 3);
        assertEquals(List.of("d1", "d1", "d2"), holders.stream().map(r -> domain(r)).toList());
        assertFalse(holders.contains(owner));
    }

    private static String domain(RouterId r) {
        return r.value().substring(0, 2);
    }

    /** A router that leaves must not make every copy move. */
    @Test
    void aLostRouterMovesOnlyItsOwnRequests() {
        RouterId gone = RouterId.of("d1-1");
        RouterId owner = RouterId.of("d1-0");
        Map<RouterId, DomainId> less = Maps.filterKeys(routers(8), r -> !r.equals(gone));
        HolderRanking before = RendezvousRanking.of(() -> routers(8), D1);
        HolderRanking after = RendezvousRanking.of(() -> less, D1);
        int moved = 0;
        for (int i = 0; i < 1_000; i++) {
            RouterId first = before.holdersFor(request(i), owner, 1).get(0);
            RouterId now = after.holdersFor(request(i), owner, 1).get(0);
            assertTrue(first.equals(gone) || first.equals(now));
            moved += first.equals(gone) ? 1 : 0;
        }
        assertTrue(moved > 80 && moved < 220, "moved " + moved);
    }

    /**
     * A caller's domain is lost; it comes back through the other one, whose routers must ask the
     * holder that the owner chose from its own domain.
     */
    @Test
    void lookupFromAnotherDomainAsksTheHolder() {
        HolderRanking owners = RendezvousRanking.of(() -> routers(8), D1);
        HolderRanking others = RendezvousRanking.of(() -> routers(8), D2);
        for (int i = 0; i < 200; i++) {
            RouterId holder = owners.holdersFor(request(i), RouterId.of("d1-3"), 1).get(0);
            List<RouterId> asked = others.candidatesFor(request(i), RouterId.of("d2-5"), 2);
            assertTrue(asked.contains(holder));
            assertEquals(RouterId.of("d2-5"), asked.get(0));
            assertEquals(7, asked.size());
        }
    }
}
