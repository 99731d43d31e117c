package org.masticweir.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticweir.id.ContentId;

/** What a fleet of routers lets a harmful content do, and what it costs sound ones. */
class QuarantineFleetTest {
    private static final ContentId CONTENT = ContentId.of("letter");
    private static final long END_MS = 100_000;
    private static final int SERVERS = 20;
    private static final int SEEDS = 5;

    /** Time after the third end by which all routers must know, in ms. */
    private static final long UPDATE_MS = 3_000;

    /** Sends that may still be made after that. */
    private static final int MAX_SENDS_AFTER = 3;

    private int contents;

    private ContentId freshContent() {
        contents++;
        return ContentId.of("c" + contents);
    }

    /** One letter that ends its servers is submitted to routers at random. */
    @Nested
    class CrashingContent {
        @ParameterizedTest
        @ValueSource(ints = {8, 61, 95, 390})
        void isNotSentOnceAllRoutersHaveReceivedTheLimit(int routers) {
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(routers, SERVERS, seed);
                fleet.scheduleEvery(1_000, END_MS, () -> fleet.submit(CONTENT, true));
                fleet.runUntil(END_MS);
                long after = fleet.sendsAfterThirdCrash(CONTENT, UPDATE_MS);
                assertTrue(after <= MAX_SENDS_AFTER, "seed " + seed + ": " + after + " sends");
            }
        }

        /** Twenty copies come at one moment, and more of them all the time. */
        @Test
        void doesNotCrashAServerForEachCopy() {
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(8, 4 * SERVERS, seed);
                fleet.scheduleEvery(50, 1_000, () -> fleet.submit(CONTENT, true));
                fleet.scheduleEvery(300, END_MS, () -> fleet.submit(CONTENT, true));
                fleet.runUntil(END_MS);
                long after = fleet.sendsAfterThirdCrash(CONTENT, UPDATE_MS);
                int ended = fleet.crashCount(CONTENT);
                String seen = "seed " + seed + ": " + ended + " ended, " + after + " sends after";
                assertTrue(after <= MAX_SENDS_AFTER, seen);
                long unknowing = fleet.sendsBeforeFirstUpdate(CONTENT);
                assertTrue(ended <= unknowing + Quarantine.LIMIT, seen + ", " + unknowing);
            }
        }
    }

    /** Letters that do no harm, while servers end for other reasons. */
    @Nested
    class HarmlessContent {
        private QuarantineFleet runWithFaults(long gapMs, Runnable fault, QuarantineFleet fleet) {
            fleet.scheduleEvery(100, END_MS, () -> fleet.submit(freshContent(), false));
            fleet.scheduleEvery(gapMs, END_MS, fault);
            fleet.runUntil(2 * END_MS);
            return fleet;
        }

        /** Each domain in turn loses all its servers. */
        @Test
        void isNeverHeldWhileDomainsAreLostInTurn() {
            int[] turn = {0};
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(8, SERVERS, seed);
                runWithFaults(6_500, () -> fleet.endDomain(turn[0]++ % 4), fleet);
                assertEquals(0, fleet.rejectedCount(), "seed " + seed);
            }
        }

        /** A third of all letters have one content, and domains are lost in turn. */
        @Test
        void isNeverHeldThoughManyCallersSendIt() {
            int[] turn = {0};
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(8, SERVERS, seed);
                fleet.scheduleEvery(300, END_MS, () -> fleet.submit(CONTENT, false));
                runWithFaults(6_500, () -> fleet.endDomain(turn[0]++ % 4), fleet);
                assertEquals(0, fleet.rejectedCount(), "seed " + seed);
            }
        }

        /**
         * A server ends every two seconds for no reason of the letters. Of 20 servers each ends
         * once in 40 s; a letter is at risk for 3.5 s at each, so three in a row hit about one in
         * 1,600.
         */
        @Test
        void isRarelyHeldWhileServersEndFrequently() {
            int held = 0;
            int submitted = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                QuarantineFleet fleet = new QuarantineFleet(8, SERVERS, seed);
                runWithFaults(2_000, fleet::endAnyServer, fleet);
                held += fleet.rejectedCount();
                submitted += fleet.submitted();
            }
            assertTrue(held * 500 <= submitted, held + " of " + submitted + " were held");
        }
    }
}
