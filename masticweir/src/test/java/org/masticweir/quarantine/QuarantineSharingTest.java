package org.masticweir.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.quarantine.LinkedQuarantines.content;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;

/** What routers know of a part of prompts whose crashes other routers observed. */
class QuarantineSharingTest {
    private static final long GAP_MS = 1_000;
    private static final long RUN_MS = 100;
    private static final String BAD_PART = "bad";

    private final LinkedQuarantines routers = new LinkedQuarantines(3);
    private int requests;

    /** Returns a request that has nothing but the part in common with the others. */
    private RequestContent badRequest() {
        requests++;
        return content("whole-" + requests, "part-" + requests, BAD_PART);
    }

    /** A request with the part ends a server, as {@code router} observes. */
    private void endServerAt(int router) {
        routers.advance(GAP_MS);
        RequestContent content = badRequest();
        ServerIncarnation server = ServerIncarnation.ofUnknownStart(EngineId.of("i-" + requests));
        long now = routers.nowMs();
        routers.of(router).recordLoss(content, new Loss(server, now - RUN_MS, now), "test");
        routers.awaitUpdates();
    }

    private void assertRejected(int router) {
        assertEquals(SendRule.REJECT, routers.rule(router, badRequest()), "at router " + router);
    }

    private void assertNotSuspect(int router) {
        assertEquals(SendRule.ANY_SERVER, routers.rule(router, badRequest()));
    }

    /** All routers are linked. */
    @Nested
    class Linked {
        @Test
        void allKnowWithinOneMessageAfterTheLastCrash() {
            for (int i = 0; i < Quarantine.CRASH_LIMIT; i++) {
                endServerAt(0);
            }
            assertTrue(
                    routers.updates().size() <= Quarantine.CRASH_LIMIT,
                    routers.updates().size() + " messages");
            assertRejected(0);
            assertRejected(1);
            assertRejected(2);
        }

        /** No router alone has observed enough crashes. */
        @Test
        void crashesThatDifferentRoutersObservedCountTogether() {
            endServerAt(0);
            endServerAt(1);
            assertNotEquals(SendRule.REJECT, routers.rule(0, badRequest()));
            endServerAt(2);
            assertRejected(0);
            assertRejected(1);
            assertRejected(2);
        }

        /** Two routers observe the end of the same server. */
        @Test
        void oneServerCountsOnceThoughTwoRoutersLoseRequestsThere() {
            ServerIncarnation server = ServerIncarnation.ofUnknownStart(EngineId.of("i"));
            for (int i = 0; i < Quarantine.CRASH_LIMIT; i++) {
                long now = routers.nowMs() + i;
                routers.advance(1);
                routers.of(i).recordLoss(badRequest(), new Loss(server, now, now), "test");
                routers.awaitUpdates();
            }
            assertNotEquals(SendRule.REJECT, routers.rule(0, badRequest()));
        }

        @Test
        void aRequestWithOtherPartsIsNotHeld() {
            for (int i = 0; i < Quarantine.CRASH_LIMIT; i++) {
                endServerAt(0);
            }
            assertEquals(SendRule.ANY_SERVER, routers.rule(1, content("sound", "first")));
        }
    }

    /** One router gets no messages for a while. */
    @Nested
    class CutOff {
        @Test
        void knowsOnceItIsLinkedAgain() {
            routers.cutOff(2);
            for (int i = 0; i < Quarantine.CRASH_LIMIT; i++) {
                endServerAt(i % 2);
            }
            assertNotSuspect(2);
            routers.link(2);
            assertRejected(2);
        }

        /** Each side has observed too few crashes. */
        @Test
        void tellsWhatItObservedItself() {
            routers.cutOff(2);
            endServerAt(2);
            endServerAt(2);
            endServerAt(0);
            assertNotEquals(SendRule.REJECT, routers.rule(1, badRequest()));
            routers.link(2);
            assertRejected(0);
            assertRejected(1);
            assertRejected(2);
        }
    }

    /** Messages come late, more than once and in another order. */
    @Nested
    class Disordered {
        private ImmutableList<CrashUpdate> updatesOfCrashes() {
            routers.cutOff(2);
            for (int i = 0; i < Quarantine.CRASH_LIMIT; i++) {
                endServerAt(0);
            }
            return routers.updates();
        }

        @Test
        void updatesLeadToTheSameRuleInAnyOrder() {
            ImmutableList<CrashUpdate> updates = updatesOfCrashes();
            updates.reverse().forEach(u -> routers.deliver(2, 0, u));
            assertRejected(2);
        }

        /** Guards against crashes that count more than once. */
        @Test
        void doubleUpdatesCountOnce() {
            ImmutableList<CrashUpdate> updates = updatesOfCrashes();
            for (int i = 0; i < Quarantine.CRASH_LIMIT; i++) {
                routers.deliver(2, 0, updates.get(0));
            }
            assertNotEquals(SendRule.REJECT, routers.rule(2, badRequest()));
        }

        /** Guards against an old message that takes back what a newer one said. */
        @Test
        void aLateUpdateTakesNothingBack() {
            ImmutableList<CrashUpdate> updates = updatesOfCrashes();
            updates.forEach(u -> routers.deliver(2, 0, u));
            routers.advance(GAP_MS);
            routers.deliver(2, 0, updates.get(0));
            assertRejected(2);
        }
    }

    /** An operator looks at the quarantine and releases a part. */
    @Nested
    class ByOperator {
        private void quarantinePart() {
            for (int i = 0; i < Quarantine.CRASH_LIMIT; i++) {
                endServerAt(0);
            }
            assertRejected(1);
        }

        @Test
        void theRefusalNamesThePart() {
            quarantinePart();
            assertEquals(
                    "part bad", routers.of(1).describeQuarantined(badRequest(), routers.nowMs()));
            assertEquals(
                    "",
                    routers.of(1).describeQuarantined(content("sound", "first"), routers.nowMs()));
        }

        @Test
        void seesThePartWithItsCrashes() {
            quarantinePart();
            QuarantinedContent part =
                    routers.of(2).contents().stream()
                            .filter(c -> c.record().content().value().equals(BAD_PART))
                            .findFirst()
                            .orElseThrow();
            assertTrue(part.record().isPart());
            assertEquals(Quarantine.CRASH_LIMIT, part.record().crashCount());
            assertTrue(part.remainingQuarantineMs() > 0);
        }

        @Test
        void releasesAtAllRouters() {
            quarantinePart();
            assertTrue(routers.of(1).release(ContentId.of(BAD_PART)));
            routers.awaitUpdates();
            for (int i = 0; i < 3; i++) {
                assertEquals(SendRule.ANY_SERVER, routers.rule(i, badRequest()));
            }
        }

        /** Guards against a release that a router takes back which had not heard of it. */
        @Test
        void releasesAtARouterThatWasCutOff() {
            quarantinePart();
            routers.cutOff(2);
            routers.of(1).release(ContentId.of(BAD_PART));
            routers.awaitUpdates();
            assertRejected(2);
            routers.link(2);
            for (int i = 0; i < 3; i++) {
                assertEquals(SendRule.ANY_SERVER, routers.rule(i, badRequest()));
            }
        }

        @Test
        void isToldThatNoServerEndedUnderAnUnknownId() {
            quarantinePart();
            assertFalse(routers.of(0).release(ContentId.of("unknown")));
        }

        /** A released part that ends servers again is held again. */
        @Test
        void isNotTheLastWord() {
            quarantinePart();
            routers.of(0).release(ContentId.of(BAD_PART));
            routers.awaitUpdates();
            for (int i = 0; i < 2 * Quarantine.CRASH_LIMIT; i++) {
                endServerAt(0);
            }
            assertRejected(1);
        }
    }
}
