package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.DocumentEdit;

/**
 * A catalog with many routes is distributed to 95 routers in six domains, each on a link of 14
 * Mbit/s.
 *
 * <p>A change must be in force two seconds after the store reports it, the shortest bound that
 * deployments require.
 */
class CatalogDistributionTest {
    private static final int ROUTERS = 95;
    private static final int DOMAINS = 6;
    private static final int ROUTES = 1_600;
    private static final long BOUND_MS = 2_000;
    private static final double BYTES_PER_MS = 1_750;

    /** Time after which the status messages have settled which routers read the store. */
    private static final long SETTLED_MS = 8_000;

    /** Maximum control traffic of a router, in bytes per second. */
    private static final long MAX_CONTROL_BYTES_PER_S = 12_000;

    /**
     * Returns a catalog in the format that routers receive: one entry for each route, with random
     * names. The version precedes the routes, and the limits follow the routes.
     */
    private static String catalog(long version, int routes) {
        Random random = new Random(39);
        StringBuilder text = new StringBuilder().append(version).append("\n{\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",").append("{\"name\":\"r-").append(name(random));
            text.append("\",\"host\":\"wuba67.example\",\"prefix\":\"/").append(name(random));
            text.append("/\",\"type\":\"idempotent\",\"timeoutMs\":800,\"goalMs\":300,");
            text.append("\"priority\":2,\"service\":\"huvo11a\",\"attempts\":2,\"public\":false,");
            text.append("\"sticky\":false,\"resumable\":false}");
        }
        return text.append("],\"limits\":{\"idleTimeoutMs\":")
                .append(15_000 + version)
                .append("}}")
                .toString();
    }

    private static String name(Random random) {
        return Long.toString(random.nextLong() >>> 24, Character.MAX_RADIX);
    }

    private static SimulatedFleet settledFleet(String catalog) {
        SimulatedFleet fleet = new SimulatedFleet(ROUTERS, DOMAINS, BYTES_PER_MS, catalog);
        fleet.runFor(SETTLED_MS);
        assertEquals(ROUTERS, fleet.countHoldersAfter(1, 0), "routers that hold version 1");
        return fleet;
    }

    private static void assertInForceInTime(SimulatedFleet fleet, long version) {
        assertEquals(ROUTERS, fleet.countHoldersAfter(version, BOUND_MS), "routers that hold it");
    }

    /**
     * Each change was sent as the full text to each peer, arrived after the timeout of the request,
     * and was requested again and again.
     */
    @Nested
    class Change {
        private final SimulatedFleet fleet = settledFleet(catalog(1, ROUTES));

        @Test
        void ofOneLimitIsInForceEverywhereInTime() {
            fleet.store.catalog(catalog(2, ROUTES));
            assertInForceInTime(fleet, 2);
        }

        @Test
        void ofManyRoutesIsInForceEverywhereInTime() {
            fleet.store.catalog(catalog(2, 2 * ROUTES));
            assertInForceInTime(fleet, 2);
        }

        @Test
        void inRapidSuccessionIsInForceEverywhereInTime() {
            for (int version = 2; version <= 6; version++) {
                fleet.store.catalog(catalog(version, ROUTES));
                fleet.runFor(100);
            }
            assertInForceInTime(fleet, 6);
        }

        @Test
        void staysWithinTheControlTrafficOfASecond() {
            fleet.runFor(1_000);
            long before = fleet.sentBytes();
            fleet.runFor(1_000);
            long quiet = fleet.sentBytes();
            fleet.store.catalog(catalog(2, ROUTES));
            fleet.runFor(1_000);
            long extra = (fleet.sentBytes() - quiet - (quiet - before)) / ROUTERS;
            assertTrue(extra <= MAX_CONTROL_BYTES_PER_S, extra + " bytes a router");
        }
    }

    /**
     * A reply arrived after the timeout of its request and was discarded, and the request was
     * repeated endlessly.
     */
    @Nested
    class ChangeSlowerThanTheRequestTimeout {
        private static final int TEAMS = 4_500;
        private static final int KEYS_PER_TEAM = 4;

        /** Time within which any change is in force everywhere, in ms. */
        private static final long ANY_CHANGE_MS = 10_000;

        private static String allKeysOf(long version) {
            Random random = new Random(version);
            StringBuilder text = new StringBuilder().append(version).append("\n{\"tenants\":[");
            for (int i = 0; i < TEAMS; i++) {
                text.append(i == 0 ? "" : ",").append("{\"name\":\"t").append(i);
                text.append("\",\"apiKeys\":[");
                for (int key = 0; key < KEYS_PER_TEAM; key++) {
                    text.append(key == 0 ? "\"" : ",\"").append(name(random));
                    text.append(name(random)).append(name(random)).append('"');
                }
                text.append("]}");
            }
            return text.append("]}").toString();
        }

        @Test
        void isEventuallyInForceEverywhere() {
            SimulatedFleet fleet = settledFleet(allKeysOf(1));
            fleet.store.catalog(allKeysOf(2));
            assertEquals(
                    ROUTERS, fleet.countHoldersAfter(2, ANY_CHANGE_MS), "routers that hold it");
        }

        @Test
        void isSentAtMostTwiceToEachRouter() {
            SimulatedFleet fleet = settledFleet(allKeysOf(1));
            long packed = PackedEdit.of(DocumentEdit.between("", allKeysOf(2))).length();
            long before = fleet.sentBytes();
            fleet.store.catalog(allKeysOf(2));
            fleet.runFor(ANY_CHANGE_MS);
            double copies = (fleet.sentBytes() - before) / (double) packed;
            assertTrue(copies <= 2 * ROUTERS, copies + " copies for " + ROUTERS + " routers");
        }
    }

    /**
     * A list of many servers arrived after the timeout of its request, and the request was repeated
     * endlessly.
     */
    @Nested
    class ServerListSlowerThanTheRequestTimeout {
        private static final int SERVERS = 2_600;
        private static final long EVENTUAL_MS = 10_000;

        @Test
        void isEventuallyReceivedEverywhere() {
            SimulatedFleet fleet = settledFleet("1");
            fleet.isCut = (from, to) -> true;
            for (int i = 2; i <= SERVERS; i++) {
                fleet.store.put("server-of-the-pool-" + i, Integer.toString(i));
            }
            fleet.store.put("e1", "82");
            fleet.runFor(1_000);
            fleet.isCut = (from, to) -> false;
            List<SimulatedFleet.Router> all = List.copyOf(fleet.routers.values());
            long tookMs = fleet.timeUntilAllSee(all, "82", EVENTUAL_MS);
            assertTrue(tookMs <= EVENTUAL_MS, "received by all after " + tookMs + " ms");
        }
    }

    /**
     * A catalog longer than the maximum frame between routers was never delivered to any router.
     */
    @Nested
    class CatalogLongerThanAFrame {
        private static final int MANY_ROUTES = 6_000;

        @Test
        void isInForceEverywhereInTime() {
            SimulatedFleet fleet = settledFleet(catalog(1, MANY_ROUTES));
            fleet.store.catalog(catalog(2, MANY_ROUTES));
            assertInForceInTime(fleet, 2);
        }
    }

    /**
     * A router that was partitioned during several changes holds a version that its peers no longer
     * store.
     */
    @Nested
    class DisconnectedRouter {
        @Test
        void receivesTheNewestVersionInTime() {
            SimulatedFleet fleet = settledFleet(catalog(1, ROUTES));
            List<SimulatedFleet.Router> ranked = fleet.byRank("d0");
            SimulatedFleet.Router disconnected = ranked.get(ranked.size() - 1);
            disconnected.fault = SimulatedFleet.StoreFault.SILENT;
            fleet.isCut =
                    (from, to) ->
                            from.equals(disconnected.info.id())
                                    || to.equals(disconnected.info.id());
            for (int version = 2; version <= 9; version++) {
                fleet.store.catalog(catalog(version, ROUTES));
                fleet.runFor(BOUND_MS);
            }
            assertEquals(1, disconnected.catalogVersion());
            fleet.isCut = (from, to) -> false;
            assertInForceInTime(fleet, 9);
        }
    }
}
