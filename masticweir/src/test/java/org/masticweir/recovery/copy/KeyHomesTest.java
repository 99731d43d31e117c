package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/** Tests {@link KeyHomes} and {@link RegisteredKeys}. */
final class KeyHomesTest {
    private static final int DOMAINS = 4;
    private static final int ROUTERS = 5;
    private static final int KEYS = 400;

    /** A router sees its own domain whole and {@code known} routers of each other domain. */
    private static KeyHomes seenBy(int domain, int router, int known) {
        Map<RouterId, DomainId> seen = new HashMap<>();
        for (int d = 0; d < DOMAINS; d++) {
            for (int r = 0; r < ROUTERS; r++) {
                boolean near = d == domain && r != router;
                boolean kept = d != domain && (r + domain + router) % ROUTERS < known;
                if (near || kept) {
                    seen.put(id(d, r), domain(d));
                }
            }
        }
        return KeyHomes.of(() -> seen, id(domain, router), domain(domain));
    }

    private static RouterId id(int domain, int router) {
        return RouterId.of("d" + domain + "r" + router);
    }

    private static DomainId domain(int domain) {
        return DomainId.of("d" + domain);
    }

    private static RequestId key(int i) {
        return RequestId.of("key-" + i);
    }

    /** Returns where a question ends up: at the router asked, or where that one passes it on. */
    private static RouterId endsAt(int domain, int router, int known, RequestId key) {
        RouterId asked = seenBy(domain, router, known).firstFor(key, 1).get(0);
        int home = asked.value().charAt(1) - '0';
        int at = asked.value().charAt(3) - '0';
        return seenBy(home, at, known).inOwnDomain(key);
    }

    /** Where keys are registered. */
    @Nested
    final class Homes {
        /**
         * A report would be computed twice though every link is whole: its key is asked for at two
         * homes. The cause is that a router keeps only two of each other domain, and each another
         * two.
         */
        @Test
        void routersThatKnowOnlyTwoOfEachDomainMeetAtOneHome() {
            for (int i = 0; i < KEYS; i++) {
                RequestId key = key(i);
                RouterId home = endsAt(0, 0, 2, key);
                for (int d = 0; d < DOMAINS; d++) {
                    for (int r = 0; r < ROUTERS; r++) {
                        assertEquals(home, endsAt(d, r, 2, key), key.value());
                    }
                }
            }
        }

        /** The plain ranking, over all routers that one knows, does not meet. */
        @Test
        void oneRankingOverAllKnownRoutersMisses() {
            HolderRanking near = ranking(0, 0);
            HolderRanking far = ranking(1, 0);
            int missed = 0;
            for (int i = 0; i < KEYS; i++) {
                RouterId one = near.holdersFor(key(i), id(0, 0), 1).get(0);
                missed += one.equals(far.holdersFor(key(i), id(1, 0), 1).get(0)) ? 0 : 1;
            }
            assertTrue(missed > KEYS / 2, missed + " of " + KEYS + " missed");
        }

        private HolderRanking ranking(int domain, int router) {
            Map<RouterId, DomainId> seen = new HashMap<>();
            for (int r = 0; r < ROUTERS; r++) {
                seen.put(id(domain, r), domain(domain));
                seen.put(id(1 - domain, r), domain(1 - domain));
            }
            seen.remove(id(domain, router));
            return RendezvousRanking.of(() -> seen, domain(domain));
        }

        @Test
        void keysSpreadOverDomains() {
            Map<DomainId, Integer> count = new HashMap<>();
            for (int i = 0; i < KEYS; i++) {
                String home = endsAt(0, 0, ROUTERS, key(i)).value();
                count.merge(DomainId.of(home.substring(0, 2)), 1, Integer::sum);
            }
            assertEquals(DOMAINS, count.size());
            count.values().forEach(c -> assertTrue(c > KEYS / DOMAINS / 2, count::toString));
        }

        @Test
        void aRouterThatKnowsNoOtherIsItsOwnHome() {
            KeyHomes alone = KeyHomes.of(ImmutableMap::of, id(0, 0), domain(0));
            assertEquals(ImmutableList.of(id(0, 0)), alone.firstFor(key(1), 2));
            assertEquals(id(0, 0), alone.inOwnDomain(key(1)));
        }
    }

    /** What one home keeps. */
    @Nested
    final class Registered {
        private static final long KEEP_MS = 1_000;

        private final RegisteredKeys keys = RegisteredKeys.within(2, KEEP_MS);

        @Test
        void theFirstThatAsksHasTheKeyForItsTime() {
            assertEquals(Samples.A, keys.register(key(1), Samples.A, 0));
            assertEquals(Samples.A, keys.register(key(1), Samples.B, KEEP_MS - 1));
            assertEquals(Samples.B, keys.register(key(1), Samples.B, 2 * KEEP_MS - 1));
        }

        @Test
        void onlyTheOwnerNamedIsForgotten() {
            keys.register(key(1), Samples.A, 0);
            keys.release(key(1), Samples.B);
            assertEquals(Samples.A, keys.register(key(1), Samples.B, 1));
            keys.release(key(1), Samples.A);
            assertEquals(Samples.B, keys.register(key(1), Samples.B, 2));
        }

        @Test
        void theKeyAskedForLongestAgoMakesRoom() {
            keys.register(key(1), Samples.A, 0);
            keys.register(key(2), Samples.A, 1);
            keys.register(key(1), Samples.B, 2);
            keys.register(key(3), Samples.A, 3);
            assertEquals(2, keys.count());
            assertEquals(Samples.A, keys.register(key(1), Samples.B, 4));
            assertEquals(Samples.B, keys.register(key(2), Samples.B, 5));
        }

        @Test
        void keysPastTheirTimeAreForgotten() {
            keys.register(key(1), Samples.A, 0);
            keys.register(key(2), Samples.A, 5);
            keys.expire(KEEP_MS);
            assertEquals(1, keys.count());
        }
    }
}
