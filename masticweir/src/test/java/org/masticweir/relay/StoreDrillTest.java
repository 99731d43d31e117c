package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticweir.relay.SimulatedFleet.Router;

/**
 * The store is away for a moment and returns from a copy some seconds old. Writes since the copy
 * are lost, and their revisions are given out again.
 */
class StoreDrillTest {
    private static final long SETTLED_MS = 8_000;
    private static final long COPY_AGE_MS = 5_000;
    private static final long AWAY_MS = 500;

    /** Time after the store's return within which all routers must know what it holds, in ms. */
    private static final long AGREED_MS = 2_000;

    /** Time in which servers write their entries again and doubted removals take effect, in ms. */
    private static final long REWRITTEN_MS = 4_000;

    private static SimulatedFleet settled(int routers, int domains) {
        SimulatedFleet fleet = new SimulatedFleet(routers, domains);
        fleet.store.put("e2", "90");
        fleet.runFor(SETTLED_MS);
        return fleet;
    }

    private static List<Router> all(SimulatedFleet fleet) {
        return List.copyOf(fleet.routers.values());
    }

    /** Loses all writes after {@code copy}; {@code rewrite} writes before the first call. */
    private static void drill(SimulatedFleet fleet, FakeStore.Copy copy, Runnable rewrite) {
        fleet.store.goAway();
        fleet.runFor(AWAY_MS);
        fleet.store.returnFrom(copy);
        rewrite.run();
    }

    private static void assertNoneSendsTo(SimulatedFleet fleet, String server, long ms) {
        long endMs = fleet.nowMs() + ms;
        while (fleet.nowMs() < endMs) {
            fleet.runFor(50);
            all(fleet).forEach(r -> assertTrue(!r.sendsTo(server), r.info.id() + " sends"));
        }
    }

    /** Requests ran at a service that the newest catalog had left: its revision was known. */
    @Nested
    class CatalogUnderAGivenOutRevision {
        @ParameterizedTest
        @CsvSource({"8, 4", "61, 4", "95, 6", "390, 9"})
        void isInForceEverywhereSoon(int routers, int domains) {
            SimulatedFleet fleet = settled(routers, domains);
            FakeStore.Copy copy = fleet.store.copy();
            for (int i = 0; i < 6; i++) {
                fleet.store.put("e" + (10 + i), "100");
            }
            fleet.runFor(COPY_AGE_MS);
            long calls = fleet.store.calls;
            drill(
                    fleet,
                    copy,
                    () -> {
                        fleet.store.catalog(2);
                        for (int i = 0; i < 6; i++) {
                            fleet.store.put("e" + (10 + i), "100");
                        }
                    });
            long holders = fleet.countHoldersAfter(2, AGREED_MS);
            System.out.printf(
                    "store drill: %d routers in %d domains, %d hold the catalog after %d ms,"
                            + " %d calls%n",
                    routers, domains, holders, AGREED_MS, fleet.store.calls - calls);
            assertEquals(routers, holders);
        }

        @Test
        void isInForceAfterASecondDrill() {
            SimulatedFleet fleet = settled(24, 4);
            FakeStore.Copy copy = fleet.store.copy();
            fleet.store.put("e3", "93");
            fleet.runFor(COPY_AGE_MS);
            drill(fleet, copy, () -> fleet.store.put("e3", "94"));
            fleet.runFor(100);
            drill(fleet, copy, () -> fleet.store.catalog(2));
            assertEquals(24, fleet.countHoldersAfter(2, AGREED_MS));
        }

        @Test
        void reachesARouterThatWasCutOffThroughTwoDrills() {
            SimulatedFleet fleet = settled(24, 4);
            Router cutOff = fleet.byRank("d1").get(0);
            FakeStore.Copy copy = fleet.store.copy();
            fleet.store.put("e3", "93");
            fleet.runFor(COPY_AGE_MS);
            cutOff.fault = SimulatedFleet.StoreFault.SILENT;
            fleet.isCut = (a, b) -> a.equals(cutOff.info.id()) || b.equals(cutOff.info.id());
            drill(fleet, copy, () -> fleet.store.put("e3", "94"));
            fleet.runFor(COPY_AGE_MS);
            drill(fleet, copy, () -> fleet.store.catalog(2));
            fleet.runFor(COPY_AGE_MS);
            cutOff.fault = SimulatedFleet.StoreFault.NONE;
            fleet.isCut = (a, b) -> false;
            assertEquals(24, fleet.countHoldersAfter(2, COPY_AGE_MS));
        }
    }

    /** A server that had left in the lost seconds got requests again: the copy shows it ready. */
    @Nested
    class ServersThatLeftInTheLostSeconds {
        private final SimulatedFleet fleet = settled(24, 4);
        private final FakeStore.Copy copy = fleet.store.copy();

        @Test
        void getNoRequestsIfTheyWereLeaving() {
            fleet.store.put("e2", "90-");
            fleet.runFor(COPY_AGE_MS);
            drill(fleet, copy, () -> {});
            assertNoneSendsTo(fleet, "e2", REWRITTEN_MS);
        }

        @Test
        void getNoRequestsIfTheyWereRemoved() {
            fleet.store.remove("e2");
            fleet.runFor(COPY_AGE_MS);
            drill(fleet, copy, () -> {});
            assertNoneSendsTo(fleet, "e2", REWRITTEN_MS);
        }

        @Test
        void getRequestsOnceTheyHaveWrittenThatTheyServe() {
            fleet.store.put("e2", "90-");
            fleet.runFor(COPY_AGE_MS);
            drill(fleet, copy, () -> {});
            fleet.runFor(AGREED_MS);
            fleet.store.put("e2", "90");
            fleet.runFor(AGREED_MS);
            assertTrue(all(fleet).stream().allMatch(r -> r.sendsTo("e2")));
        }

        @Test
        void areUsedIfTheirEntriesOnlyLapsed() {
            fleet.store.remove("e2");
            fleet.runFor(COPY_AGE_MS);
            drill(fleet, copy, () -> fleet.store.put("e2", "90"));
            fleet.runFor(AGREED_MS);
            assertTrue(all(fleet).stream().allMatch(r -> r.sendsTo("e2")));
        }
    }

    /** All requests were refused: entries written in the lost seconds are missing from the copy. */
    @Nested
    class EntriesThatAreMissingFromTheCopy {
        private final SimulatedFleet fleet = settled(24, 4);
        private final FakeStore.Copy copy = fleet.store.copy();

        @Test
        void areKeptUntilTheirServersWriteThemAgain() {
            fleet.store.put("e3", "93");
            fleet.runFor(COPY_AGE_MS);
            drill(fleet, copy, () -> {});
            fleet.runFor(1_500);
            assertTrue(all(fleet).stream().allMatch(r -> r.sendsTo("e3")));
            fleet.store.put("e3", "93");
            fleet.runFor(REWRITTEN_MS);
            assertTrue(all(fleet).stream().allMatch(r -> r.sendsTo("e3")));
        }

        @Test
        void areDroppedIfNobodyWritesThemAgain() {
            fleet.store.put("e3", "93");
            fleet.runFor(COPY_AGE_MS);
            drill(fleet, copy, () -> {});
            fleet.runFor(REWRITTEN_MS + AGREED_MS);
            assertTrue(all(fleet).stream().noneMatch(r -> r.sendsTo("e3")));
        }
    }
}
