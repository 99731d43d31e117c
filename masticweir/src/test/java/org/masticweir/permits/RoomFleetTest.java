package org.masticweir.permits;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against routers that together make brittle servers fall over. */
class RoomFleetTest {
    private static final long SEED = 11;
    private static final int SERVERS = 4;
    private static final long DURATION_MS = 30_000;
    private static final double ALLOWED_FALLS = 2 + 0.1 * SERVERS;

    /** Requests a second that the servers work on at most. */
    private static final double CAPACITY = SERVERS * RoomFleet.SLOTS * 1_000 / 86.0;

    /** Requests that could be served in the replay. */
    private static final double MOST_SERVED = CAPACITY * DURATION_MS / 1_000;

    private static String figures(RoomFleet fleet) {
        return fleet.falls
                + " falls, "
                + fleet.rejected
                + " rejected, "
                + fleet.served
                + " served of "
                + fleet.requests
                + ", capacity "
                + Math.round(MOST_SERVED);
    }

    private static void assertFewFalls(RoomFleet fleet) {
        assertTrue(fleet.falls <= ALLOWED_FALLS, figures(fleet));
    }

    /** More requests than the servers can work on. */
    @Nested
    class Overload {
        @ParameterizedTest
        @CsvSource({"8, 2", "61, 2", "95, 2", "390, 2", "8, 5", "95, 5", "390, 5"})
        void fellsFewServersAndUsesTheirSlots(int routers, double maxRejections) {
            RoomFleet fleet = new RoomFleet(SEED, routers, SERVERS, maxRejections, true);
            fleet.play(2 * CAPACITY, DURATION_MS);
            assertFewFalls(fleet);
            assertTrue(fleet.served >= 0.6 * MOST_SERVED, figures(fleet));
        }

        /** The replay shows the failure that the issuer prevents. */
        @Test
        void withoutAnIssuerFellsServersAllTheTime() {
            RoomFleet fleet = new RoomFleet(SEED, 95, SERVERS, 5, false);
            fleet.play(2 * CAPACITY, DURATION_MS);
            assertTrue(fleet.falls > ALLOWED_FALLS, figures(fleet));
        }
    }

    /** Servers that let fewer requests in than they have slots. */
    @Nested
    class ShrunkenRoom {
        @ParameterizedTest
        @ValueSource(ints = {8, 95, 390})
        void fellsFewServers(int routers) {
            RoomFleet fleet = new RoomFleet(SEED, routers, SERVERS, 3, true);
            fleet.shrinkRooms(5_000, RoomFleet.SLOTS - 2);
            fleet.play(2 * CAPACITY, DURATION_MS);
            assertFewFalls(fleet);
            assertTrue(fleet.served >= 0.3 * MOST_SERVED, figures(fleet));
        }
    }
}
