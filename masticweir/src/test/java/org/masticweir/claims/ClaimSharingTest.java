package org.masticweir.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests claims of a domain's routers that one writer writes, in virtual time. */
class ClaimSharingTest {
    private static final int NO_SHARING_THRESHOLD = 1_000;
    private static final long LOAD_MS = 20_000;
    private static final long SETTLED_MS = 10_000;
    private static final int CLAIMS_PER_S = 200;

    /**
     * Starts {@code rate} claims per second in total for {@code forMs}, at the routers in rotation.
     */
    private static void scheduleClaims(ClaimDomain domain, double rate, long forMs) {
        long startMs = domain.now();
        int n = (int) (forMs * rate / 1_000);
        for (int i = 0; i < n; i++) {
            domain.runTo(startMs + (long) (i * 1_000 / rate));
            ClaimDomain.Router router = domain.allRouters().get(i % domain.allRouters().size());
            if (router.isHealthy()) {
                domain.claim(router, "k" + startMs + "-" + i, 1_000);
            }
        }
        domain.runTo(startMs + forMs);
    }

    /** All routers and the table are healthy. */
    @Nested
    class NoFaults {
        /** The table receives few transactions per second, whatever the number of routers. */
        @Test
        void transactionsOfADomainStayUnderOneRoutersBudget() {
            for (int routers : new int[] {1, 2, 4, 8, 16, 43}) {
                double alone = measure(routers, NO_SHARING_THRESHOLD);
                double shared = measure(routers, 1);
                assertTrue(shared <= 21, shared + " transactions/s of " + routers + " routers");
                assertTrue(shared <= alone + 1, shared + " after " + alone);
            }
        }

        private double measure(int routers, int shareAbove) {
            ClaimDomain domain = new ClaimDomain(routers, shareAbove);
            scheduleClaims(domain, CLAIMS_PER_S, LOAD_MS);
            domain.resetCounts();
            scheduleClaims(domain, CLAIMS_PER_S, LOAD_MS);
            double perSecond = domain.transactions() * 1_000.0 / LOAD_MS;
            System.out.printf(
                    "claims: %d routers, %s, %d claims/s: %.1f transactions/s, wait p50 %d p99 %d"
                            + " ms%n",
                    routers,
                    shareAbove < routers ? "shared" : "each for itself",
                    CLAIMS_PER_S,
                    perSecond,
                    domain.waitMs(0.5),
                    domain.waitMs(0.99));
            assertEquals(domain.decisions().size(), domain.count(ClaimDecision.Granted.class));
            domain.runTo(domain.now() + SETTLED_MS);
            assertEquals(0, domain.rows(ClaimStatus.CLAIMED), "ends stored");
            return perSecond;
        }
    }

    /** The writer or the table fails under load. */
    @Nested
    class Faults {
        private static final int ROUTERS = 8;
        private static final long FAULT_MS = 10_000;

        /** A silent writer is detected after 150 ms; the claimant's own write follows. */
        private static final long SILENT_WRITER_BOUND_MS = 300;

        /**
         * A call to the table without a response ends after 500 ms; the claimant's own write
         * follows.
         */
        private static final long SILENT_TABLE_BOUND_MS = 700;

        private final ClaimDomain domain = new ClaimDomain(ROUTERS, 1);

        Faults() {
            scheduleClaims(domain, CLAIMS_PER_S, 5_000);
            domain.resetCounts();
        }

        /**
         * The writer crashes with claims of other routers in its queue.
         *
         * <p>Guards against refused callers of the other routers, or callers that wait until their
         * deadline. The next router in rank writes at once, and each claimant rewrites its claims
         * that were in the queue.
         */
        @Test
        void writerKilled() {
            assertAllServed(ClaimDomain.Fault.KILLED, SILENT_WRITER_BOUND_MS);
        }

        /**
         * The writer is paused with its connections open and resumes after 10 s.
         *
         * <p>Only the missing responses reveal the pause. When it resumes it writes claims that
         * their claimants wrote long ago. Each of those writes fails its check, and no row stays
         * claimed.
         */
        @Test
        void writerPausedAndWoken() {
            assertAllServed(ClaimDomain.Fault.PAUSED, SILENT_WRITER_BOUND_MS);
        }

        /**
         * Only the writer loses its connection to the table; callers of other routers must not be
         * refused.
         */
        @Test
        void writerCutFromTheTable() {
            assertAllServed(ClaimDomain.Fault.TABLE_REFUSED, SILENT_WRITER_BOUND_MS);
        }

        /**
         * The writer loses its connection to the table, and the connections stay open and transfer
         * nothing.
         */
        @Test
        void writerCutFromTheTableInSilence() {
            assertAllServed(ClaimDomain.Fault.TABLE_SILENT, SILENT_TABLE_BOUND_MS);
        }

        private void assertAllServed(ClaimDomain.Fault fault, long boundMs) {
            ClaimDomain.Router writer = domain.writer();
            long startMs = domain.now();
            domain.runTo(startMs + 20);
            writer.setFault(fault);
            scheduleClaims(domain, CLAIMS_PER_S, FAULT_MS);
            double perSecond = domain.transactions() * 1_000.0 / FAULT_MS;
            System.out.printf(
                    "claims: writer %s: %d of %d served, longest wait %d p99 %d ms, %.1f"
                            + " transactions/s%n",
                    fault,
                    domain.count(ClaimDecision.Granted.class),
                    domain.decisions().size(),
                    domain.waitMs(1),
                    domain.waitMs(0.99),
                    perSecond);
            assertEquals(0, domain.refusals().size(), "refused");
            assertTrue(domain.waitMs(1) <= boundMs, "waited " + domain.waitMs(1) + " ms");
            assertTrue(perSecond <= 2 * 21, perSecond + " transactions/s");
            writer.setFault(ClaimDomain.Fault.NONE);
            scheduleClaims(domain, CLAIMS_PER_S, FAULT_MS);
            domain.runTo(domain.now() + 2 * SETTLED_MS);
            long owned = domain.rows(ClaimStatus.CLAIMED);
            assertEquals(0, owned, "rows left claimed");
        }

        /**
         * The table is unavailable for all routers: every caller is refused at once with a retry
         * delay.
         *
         * <p>Claims must not each wait for a delegation that failed. After the outage one router
         * writes for all routers again.
         */
        @Test
        void tableOut() {
            domain.setTableOut(true);
            scheduleClaims(domain, CLAIMS_PER_S, FAULT_MS);
            System.out.printf(
                    "claims: table out: %d refused, longest wait %d p99 %d ms, %d transactions%n",
                    domain.refusals().size(),
                    domain.waitMs(1),
                    domain.waitMs(0.99),
                    domain.transactions());
            assertEquals(domain.decisions().size(), domain.refusals().size());
            assertTrue(domain.refusals().stream().allMatch(e -> e.retryAfterMs().isPresent()));
            assertTrue(domain.waitMs(1) <= 150, "waited " + domain.waitMs(1) + " ms");
            domain.setTableOut(false);
            scheduleClaims(domain, CLAIMS_PER_S, FAULT_MS);
            domain.resetCounts();
            scheduleClaims(domain, CLAIMS_PER_S, FAULT_MS);
            double perSecond = domain.transactions() * 1_000.0 / FAULT_MS;
            assertTrue(perSecond <= 21, perSecond + " transactions/s after the outage");
            assertEquals(0, domain.refusals().size(), "refused");
        }

        /**
         * The table takes 300 ms per call: the writer is slow but not lost and stays the only
         * writer.
         */
        @Test
        void tableSlow() {
            domain.setTableDelay(150);
            scheduleClaims(domain, CLAIMS_PER_S, FAULT_MS);
            double perSecond = domain.transactions() * 1_000.0 / FAULT_MS;
            System.out.printf(
                    "claims: table slow: %d of %d served, p50 %d p99 %d ms, %.1f transactions/s%n",
                    domain.count(ClaimDecision.Granted.class),
                    domain.decisions().size(),
                    domain.waitMs(0.5),
                    domain.waitMs(0.99),
                    perSecond);
            assertEquals(0, domain.refusals().size(), "refused");
            assertTrue(perSecond <= 21, perSecond + " transactions/s");
        }

        /**
         * More claims than one writer can write: the excess is refused at once with a retry delay.
         */
        @Test
        void tooManyClaims() {
            scheduleClaims(domain, 4_000, FAULT_MS);
            double perSecond = domain.transactions() * 1_000.0 / FAULT_MS;
            System.out.printf(
                    "claims: 4000 claims/s: %d served, %d refused, longest wait %d p99 %d ms, %.1f"
                            + " transactions/s%n",
                    domain.count(ClaimDecision.Granted.class),
                    domain.refusals().size(),
                    domain.waitMs(1),
                    domain.waitMs(0.99),
                    perSecond);
            assertTrue(domain.refusals().stream().allMatch(e -> e.retryAfterMs().isPresent()));
            assertTrue(domain.waitMs(1) <= 1_000, "waited " + domain.waitMs(1) + " ms");
        }
    }
}
