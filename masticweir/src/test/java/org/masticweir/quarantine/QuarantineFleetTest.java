package org.masticweir.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticweir.id.ContentId;

/**
 * Tests with many routers how many servers a crashing content ends and how many harmless contents
 * are rejected.
 */
class QuarantineFleetTest {
    private static final ContentId CONTENT = ContentId.of("content");
    private static final long END_MS = 100_000;
    private static final int SERVERS = 20;
    private static final int SEEDS = 5;

    /** Time after the third crash by which all routers must have received it, in ms. */
    private static final long UPDATE_DEADLINE_MS = 3_000;

    /** Maximum number of sends after that time. */
    private static final int MAX_LATE_SENDS = 3;

    private int contentCount;

    private ContentId freshContent() {
        contentCount++;
        return ContentId.of("c" + contentCount);
    }

    /** One content that crashes its servers is submitted to routers at random. */
    @Nested
    class CrashingContent {
        @ParameterizedTest
        @ValueSource(ints = {8, 61, 95, 390})
        void isNotSentOnceAllRoutersHaveReceivedTheLimit(int routers) {
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(routers, SERVERS, seed);
                fleet.scheduleEvery(1_000, END_MS, () -> fleet.submit(CONTENT, true));
                fleet.runUntil(END_MS);
                long after = fleet.sendsAfterThirdCrash(CONTENT, UPDATE_DEADLINE_MS);
                assertTrue(after <= MAX_LATE_SENDS, "seed " + seed + ": " + after + " sends");
            }
        }

        /** Twenty copies are submitted within one second, and further ones at a steady rate. */
        @Test
        void doesNotCrashAServerForEachCopy() {
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(8, 4 * SERVERS, seed);
                fleet.scheduleEvery(50, 1_000, () -> fleet.submit(CONTENT, true));
                fleet.scheduleEvery(300, END_MS, () -> fleet.submit(CONTENT, true));
                fleet.runUntil(END_MS);
                long after = fleet.sendsAfterThirdCrash(CONTENT, UPDATE_DEADLINE_MS);
                int ended = fleet.crashCount(CONTENT);
                String seen = "seed " + seed + ": " + ended + " ended, " + after + " sends after";
                assertTrue(after <= MAX_LATE_SENDS, seen);
                long early = fleet.sendsBeforeFirstUpdate(CONTENT);
                assertTrue(ended <= early + Quarantine.CRASH_LIMIT, seen + ", " + early);
            }
        }
    }

    /** Harmless contents, while servers end for other reasons. */
    @Nested
    class HarmlessContent {
        private QuarantineFleet runWithFaults(long gapMs, Runnable fault, QuarantineFleet fleet) {
            fleet.scheduleEvery(100, END_MS, () -> fleet.submit(freshContent(), false));
            fleet.scheduleEvery(gapMs, END_MS, fault);
            fleet.runUntil(2 * END_MS);
            return fleet;
        }

        /** All servers of one domain after another end. */
        @Test
        void isNeverRejectedWhileDomainsAreLostInTurn() {
            int[] turn = {0};
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(8, SERVERS, seed);
                runWithFaults(6_500, () -> fleet.endDomain(turn[0]++ % 4), fleet);
                assertEquals(0, fleet.rejectedCount(), "seed " + seed);
            }
        }

        /** A third of the requests have the same content, and one domain after another is lost. */
        @Test
        void isNeverRejectedThoughManyCallersSendIt() {
            int[] turn = {0};
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(8, SERVERS, seed);
                fleet.scheduleEvery(300, END_MS, () -> fleet.submit(CONTENT, false));
                runWithFaults(6_500, () -> fleet.endDomain(turn[0]++ % 4), fleet);
                assertEquals(0, fleet.rejectedCount(), "seed " + seed);
            }
        }

        /**
         * A server ends every two seconds for a reason other than its requests. Each of the 20
         * servers ends once in 40 s. A request is at risk for 3.5 s at each server, so about one in
         * 1,600 is lost three times in a row.
         */
        @Test
        void isRarelyRejectedWhileServersEndFrequently() {
            int rejected = 0;
            int submitted = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(8, SERVERS, seed);
                runWithFaults(2_000, fleet::endAnyServer, fleet);
                rejected += fleet.rejectedCount();
                submitted += fleet.submittedCount();
            }
            assertTrue(rejected * 500 <= submitted, rejected + " of " + submitted + " were held");
        }
    }
}
