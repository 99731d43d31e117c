package org.masticweir.permits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.OptionalDouble;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that all routers together comply with a server's limit. */
class PermitFleetTest {
    private static final long WINDOW_MS = 4_000;
    private static final long ANNOUNCED_MS = 2_000;
    private static final long END_MS = 30_000;
    private static final int FAULT_COUNT = 8;

    /** Requests a second by all callers. */
    private static final double REQUESTS_PER_SECOND = 120;

    private static double allowedInWindow(double limit) {
        return limit * WINDOW_MS / 1_000 + 5;
    }

    private static double[] evenShares(int routers) {
        double[] shares = new double[routers];
        Arrays.fill(shares, 1.0 / routers);
        return shares;
    }

    private static void assertWithinLimit(PermitFleet fleet, double limit) {
        int most = PermitFleet.maxInWindow(fleet.arrivals(), WINDOW_MS, 0);
        assertTrue(
                most <= allowedInWindow(limit),
                () -> most + " in a window, " + allowedInWindow(limit) + " allowed");
    }

    private static long arrivalCount(PermitFleet fleet, long fromMs, long untilMs) {
        return fleet.arrivals().stream()
                .filter(a -> a.atMs() >= fromMs && a.atMs() < untilMs)
                .count();
    }

    /** Runs without faults. */
    @Nested
    class WithoutFaults {
        @ParameterizedTest
        @ValueSource(ints = {1, 8, 61, 95, 390})
        void limitIsRespectedAndUsed(int routers) {
            double limit = 4.7;
            PermitFleet fleet = new PermitFleet(routers, 0, routers);
            fleet.scheduleRequests(evenShares(routers), REQUESTS_PER_SECOND, END_MS);
            fleet.scheduleAt(ANNOUNCED_MS, f -> f.setLimit(OptionalDouble.of(limit)));
            fleet.runUntil(END_MS);
            assertWithinLimit(fleet, limit);
            long usedFromMs = ANNOUNCED_MS + 3_000;
            double used = arrivalCount(fleet, usedFromMs, END_MS) * 1_000.0 / (END_MS - usedFromMs);
            assertTrue(used >= 0.85 * limit, used + " a second used of " + limit);
        }

        /**
         * The number of permit requests must not grow with the number of routers: otherwise one
         * limited server would load all issuers.
         */
        @Test
        void permitRequestsAreBoundedPerPermitAndRouter() {
            double limit = 4.7;
            PermitFleet fleet = new PermitFleet(95, 0, 5);
            fleet.scheduleRequests(evenShares(95), REQUESTS_PER_SECOND, END_MS);
            fleet.setLimit(OptionalDouble.of(limit));
            fleet.runUntil(END_MS);
            double requests = fleet.permitRequestsSent() * 1_000.0 / END_MS;
            assertTrue(requests <= 95 / 2.0 + 4 * limit, requests + " permit requests a second");
        }

        /** If all callers use one router, this router must get the whole limit. */
        @Test
        void permitsGoToTheRouterWithCallers() {
            double limit = 9;
            double[] shares = new double[95];
            shares[17] = 1;
            PermitFleet fleet = new PermitFleet(95, 0, 3);
            fleet.scheduleRequests(shares, REQUESTS_PER_SECOND, END_MS);
            fleet.setLimit(OptionalDouble.of(limit));
            fleet.runUntil(END_MS);
            double used = arrivalCount(fleet, 5_000, END_MS) * 1_000.0 / (END_MS - 5_000);
            assertTrue(used >= 0.85 * limit, used + " a second used");
            assertWithinLimit(fleet, limit);
        }

        @Test
        void limitIsLiftedWhenTheServerAnnouncesNone() {
            PermitFleet fleet = new PermitFleet(8, 0, 4);
            fleet.scheduleRequests(evenShares(8), REQUESTS_PER_SECOND, END_MS);
            fleet.setLimit(OptionalDouble.of(4.5));
            fleet.scheduleAt(10_000, f -> f.setLimit(OptionalDouble.empty()));
            fleet.runUntil(END_MS);
            assertTrue(
                    arrivalCount(fleet, 12_000, END_MS)
                            >= 0.85 * REQUESTS_PER_SECOND * (END_MS - 12_000) / 1_000);
            for (int i = 0; i < 8; i++) {
                assertEquals(OptionalDouble.empty(), fleet.storedLimit(i));
            }
        }

        /**
         * A server with a limit of 0 must still receive some requests, as only an answer can lift
         * the limit.
         */
        @Test
        void limitOfZeroStillAllowsSomeRequests() {
            PermitFleet fleet = new PermitFleet(8, 0, 4);
            fleet.scheduleRequests(evenShares(8), REQUESTS_PER_SECOND, END_MS);
            fleet.setLimit(OptionalDouble.of(0));
            fleet.runUntil(END_MS);
            assertWithinLimit(fleet, 0);
            assertTrue(arrivalCount(fleet, 10_000, END_MS) >= 1);
        }
    }

    /** Retries beyond each router's own retry budget, while most servers fail. */
    @Nested
    class RetryAllowance {
        private static final long RETRY_WINDOW_MS = 10_000;
        private static final double RETRIES_PER_SECOND = 200;

        private static int maxInWindow(PermitFleet fleet) {
            return PermitFleet.maxInWindow(fleet.retries(), RETRY_WINDOW_MS, 0);
        }

        private static void assertWithinAllowance(PermitFleet fleet) {
            assertTrue(
                    maxInWindow(fleet) <= PermitFleet.ALLOWED_RETRIES,
                    maxInWindow(fleet) + " in a window");
        }

        @ParameterizedTest
        @ValueSource(ints = {8, 61, 95, 390})
        void stayWithinTheAllowanceAndUseIt(int routers) {
            PermitFleet fleet = new PermitFleet(routers, 0, routers);
            fleet.scheduleRetries(evenShares(routers), RETRIES_PER_SECOND, END_MS);
            fleet.runUntil(END_MS);
            assertWithinAllowance(fleet);
            double wanted = 0.85 * PermitFleet.ALLOWED_RETRIES;
            assertTrue(maxInWindow(fleet) >= wanted, maxInWindow(fleet) + " in the best window");
        }

        /** The servers of one router fail; the other routers have nothing to retry. */
        @Test
        void ofOneRouterUseTheWholeAllowance() {
            double[] shares = new double[95];
            shares[40] = 1;
            PermitFleet fleet = new PermitFleet(95, 0, 2);
            fleet.scheduleRetries(shares, RETRIES_PER_SECOND, END_MS);
            fleet.runUntil(END_MS);
            assertWithinAllowance(fleet);
            double wanted = 0.85 * PermitFleet.ALLOWED_RETRIES;
            assertTrue(maxInWindow(fleet) >= wanted, maxInWindow(fleet) + " in the best window");
        }

        @Property(tries = 150, seed = "32")
        void stayWithinTheAllowanceDespiteFaults(
                @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
            Random random = new Random(seed);
            int routers = 3 + random.nextInt(40);
            PermitFleet fleet = new PermitFleet(routers, 0.05 * random.nextDouble(), seed);
            fleet.scheduleRetries(evenShares(routers), RETRIES_PER_SECOND, END_MS);
            runWithFaults(fleet, routers, random);
            assertWithinAllowance(fleet);
        }
    }

    private static void runWithFaults(PermitFleet fleet, int routers, Random random) {
        for (int i = 0; i < FAULT_COUNT; i++) {
            scheduleFault(fleet, routers, random);
        }
        fleet.runUntil(END_MS);
    }

    private static void scheduleFault(PermitFleet fleet, int routers, Random random) {
        long atMs = ANNOUNCED_MS + random.nextInt((int) (END_MS - ANNOUNCED_MS));
        int router = random.nextInt(routers);
        long forMs = 500 + random.nextInt(8_000);
        switch (random.nextInt(3)) {
            case 0 -> fleet.scheduleAt(atMs, f -> f.kill(router));
            case 1 -> fleet.scheduleAt(atMs, f -> f.suspend(router, forMs));
            default -> fleet.scheduleAt(atMs, f -> f.partition(1 + router / 2, forMs));
        }
    }

    /** Routers are killed, suspended and partitioned, and messages are lost. */
    @Nested
    class WithFaults {
        @Property(tries = 150, seed = "31")
        void limitIsRespected(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
            Random random = new Random(seed);
            int routers = 3 + random.nextInt(22);
            double limit = 1 + 20 * random.nextDouble();
            PermitFleet fleet = new PermitFleet(routers, 0.05 * random.nextDouble(), seed);
            fleet.scheduleRequests(evenShares(routers), REQUESTS_PER_SECOND, END_MS);
            fleet.scheduleAt(ANNOUNCED_MS, f -> f.setLimit(OptionalDouble.of(limit)));
            runWithFaults(fleet, routers, random);
            assertWithinLimit(fleet, limit);
        }

        /**
         * After the simultaneous loss of all routers, no router has stored the limit until the
         * server announces the limit again.
         */
        @Test
        void limitIsRespectedAfterTheLossOfAllRouters() {
            double limit = 4.5;
            PermitFleet fleet = new PermitFleet(24, 0, 6);
            fleet.scheduleRequests(evenShares(24), REQUESTS_PER_SECOND, END_MS);
            fleet.setLimit(OptionalDouble.of(limit));
            fleet.scheduleAt(
                    10_000,
                    f -> {
                        for (int i = 0; i < 24; i++) {
                            f.kill(i);
                        }
                    });
            fleet.runUntil(END_MS);
            assertWithinLimit(fleet, limit);
        }

        /** Both sides of a network partition reach the server. */
        @Test
        void limitIsSharedByBothSidesOfAPartition() {
            double limit = 9;
            PermitFleet fleet = new PermitFleet(8, 0, 8);
            fleet.scheduleRequests(evenShares(8), REQUESTS_PER_SECOND, END_MS);
            fleet.setLimit(OptionalDouble.of(limit));
            fleet.scheduleAt(5_000, f -> f.partition(3, 20_000));
            fleet.runUntil(END_MS);
            long inPartition = arrivalCount(fleet, 8_000, 25_000);
            assertTrue(inPartition <= limit * 17 + 5, inPartition + " in 17 s of the partition");
            assertTrue(inPartition >= 0.85 * limit * 17, inPartition + " in 17 s of the partition");
        }
    }
}
