package org.masticweir.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.quarantine.Quarantine.Change;
import org.masticweir.quarantine.Quarantine.ContentUpdate;

/** Tests which part of the prompts of several requests is held for the crashes of servers. */
class QuarantinePartRulesTest {
    private static final ContentId FIRST = ContentId.of("first");
    private static final ContentId BAD = ContentId.of("bad");
    private static final RouterId SELF = RouterId.of("r1");
    private static final RouterId PEER = RouterId.of("r2");
    private static final long MAX_QUARANTINE_MS = 3_600_000;
    private static final long RUN_MS = 60;
    private static final long LOSS_GAP_MS = 1_000;

    /** Time after which a trusted part is suspected, and longer than routers spread trials. */
    private static final long LATER_MS = 3_000;

    private final Quarantine quarantine = Quarantine.create(SELF, MAX_QUARANTINE_MS);
    private final Quarantine peer = Quarantine.create(PEER, MAX_QUARANTINE_MS);
    private int requestCount;

    private RequestContent request(ContentId... parts) {
        requestCount++;
        return new RequestContent(ContentId.of("c" + requestCount), ImmutableSet.copyOf(parts));
    }

    private static Loss loss(int server, long endedMs) {
        return new Loss(
                ServerIncarnation.of(EngineId.of("i-" + server), 1), endedMs - RUN_MS, endedMs);
    }

    /** Loses a server to a request of its own, {@code number} times. */
    private void loseServers(int number, ContentId... parts) {
        for (int i = 1; i <= number; i++) {
            quarantine.recordLoss(request(parts), loss(i, i * LOSS_GAP_MS), i * LOSS_GAP_MS);
        }
    }

    private void share(long nowMs) {
        for (ContentUpdate update : quarantine.drainUpdates(nowMs)) {
            peer.handleUpdate(SELF, update, nowMs);
        }
    }

    /** What is held for the crashes that several parts have in common. */
    @Nested
    class CommonLosses {
        /** Guards against a limit on whole contents only. */
        @Test
        void partIsRejectedInAnyRequestFromTheLimitOn() {
            loseServers(Quarantine.CRASH_LIMIT, FIRST, BAD);
            assertEquals(SendRule.REJECT, quarantine.sendRule(request(FIRST, BAD), LATER_MS));
            assertTrue(quarantine.remainingQuarantineMs(request(FIRST, BAD), LATER_MS) > 0);
        }

        /** Guards against a quarantine of a part that sound requests share with the bad ones. */
        @Test
        void partThatRanMoreRecentlyIsNotHeldWithoutTheOther() {
            quarantine.recordSuccess(request(FIRST), 0, 0);
            loseServers(2 * Quarantine.CRASH_LIMIT, FIRST, BAD);
            RequestContent sound = request(FIRST);
            assertEquals(SendRule.ANY_SERVER, quarantine.sendRule(sound, 10 * LOSS_GAP_MS));
        }

        /** Guards against a verdict between two parts that always came together. */
        @Test
        void partIsTriedIfAnotherOneExplainsItsLossesAsWell() {
            loseServers(Quarantine.CRASH_LIMIT, FIRST, BAD);
            RequestContent half = request(FIRST);
            assertEquals(SendRule.LEAST_LOADED, quarantine.sendRule(half, LATER_MS));
            assertTrue(quarantine.beginTrial(half, LATER_MS));
            assertEquals(SendRule.WAIT, quarantine.sendRule(request(FIRST), LATER_MS));
            quarantine.endTrial(half);
            quarantine.recordSuccess(half, LATER_MS + 1, LATER_MS + 1);
            assertEquals(SendRule.ANY_SERVER, quarantine.sendRule(half, LATER_MS + 1));
            assertEquals(SendRule.REJECT, quarantine.sendRule(request(BAD), LATER_MS + 1));
        }

        /** Guards against the rejection of a content that ran beside bad requests by chance. */
        @Test
        void contentIsTriedIfItWasOnlyLostWithAPartAtTheLimit() {
            RequestContent sound = request(FIRST);
            loseServers(Quarantine.CRASH_LIMIT + 1, BAD);
            for (int i = 1; i <= Quarantine.CRASH_LIMIT; i++) {
                quarantine.recordLoss(sound, loss(i, i * LOSS_GAP_MS), i * LOSS_GAP_MS);
            }
            quarantine.recordSuccess(request(FIRST), 10 * LOSS_GAP_MS, 10 * LOSS_GAP_MS);
            assertEquals(SendRule.LEAST_LOADED, quarantine.sendRule(sound, 10 * LOSS_GAP_MS));
        }

        /** Guards against a part that is no longer found after many losses of other causes. */
        @Test
        void latestLossesAreKept() {
            loseServers(2 * CrashRecord.MAX_INCARNATIONS, FIRST);
            long lastMs = 2 * CrashRecord.MAX_INCARNATIONS * LOSS_GAP_MS;
            assertEquals(lastMs, quarantine.countedLosses(FIRST).reverse().get(0).endedMs());
        }
    }

    /** Runs that show that a part crashes no server. */
    @Nested
    class Successes {
        /** Guards against a part that turned bad and is cleared by runs from before. */
        @Test
        void runThatBeganBeforeALossDoesNotClearIt() {
            loseServers(1, BAD);
            quarantine.recordSuccess(request(BAD), LOSS_GAP_MS - 1, LATER_MS);
            assertEquals(1, quarantine.countedLosses(BAD).size());
            Change cleared = quarantine.recordSuccess(request(BAD), LOSS_GAP_MS, LATER_MS).get(BAD);
            assertEquals(Change.NONE, cleared, "never suspected beyond its trust");
            assertEquals(0, quarantine.countedLosses(BAD).size());
        }

        /** Guards against trust that excludes a part for good. */
        @Test
        void trustedPartIsRejectedWithALaterLoss() {
            quarantine.recordSuccess(request(BAD), 0, 0);
            loseServers(Quarantine.CRASH_LIMIT, BAD);
            RequestContent request = request(BAD);
            assertEquals(SendRule.ANY_SERVER, quarantine.sendRule(request, LATER_MS));
            loseServers(Quarantine.CRASH_LIMIT + ContentState.TRUST_MARGIN_CRASHES, BAD);
            assertEquals(SendRule.REJECT, quarantine.sendRule(request, 5 * LOSS_GAP_MS));
        }

        /** Guards against a part in frequent use that is held at routers without its requests. */
        @Test
        void areToldToRoutersThatHearOfALoss() {
            peer.recordSuccess(request(FIRST), 0, 0);
            loseServers(1, FIRST);
            share(LOSS_GAP_MS);
            for (ContentUpdate update : peer.drainUpdates(LOSS_GAP_MS)) {
                quarantine.handleUpdate(PEER, update, LOSS_GAP_MS);
            }
            quarantine.beginTrial(request(FIRST), LOSS_GAP_MS);
            assertEquals(SendRule.ANY_SERVER, quarantine.sendRule(request(FIRST), LOSS_GAP_MS));
        }
    }

    /** Trials at several routers. */
    @Nested
    class TrialsOfRouters {
        /** Guards against one trial at each router as soon as one has ended. */
        @Test
        void routersThatHearOfALossTryLater() {
            loseServers(1, BAD);
            share(LOSS_GAP_MS);
            assertEquals(SendRule.ANY_SERVER, quarantine.sendRule(request(BAD), LOSS_GAP_MS));
            assertEquals(SendRule.WAIT, peer.sendRule(request(BAD), LOSS_GAP_MS));
            assertEquals(SendRule.ANY_SERVER, peer.sendRule(request(BAD), LATER_MS));
        }

        /** Guards against a trial before the loss of the one before is known. */
        @Test
        void trialLastsUntilTheCauseOfItsLossIsKnown() {
            loseServers(1, BAD);
            share(LOSS_GAP_MS);
            RequestContent tried = request(BAD);
            quarantine.beginTrial(tried, LATER_MS);
            quarantine.endTrial(tried);
            quarantine.beginInquiry(tried, LATER_MS);
            share(LATER_MS);
            assertEquals(SendRule.WAIT, peer.sendRule(request(BAD), 2 * LATER_MS));
            quarantine.endInquiry(tried);
            share(2 * LATER_MS);
            assertNotEquals(SendRule.WAIT, peer.sendRule(request(BAD), 3 * LATER_MS));
        }

        /** Guards against one trial at each router when a quarantine ends. */
        @Test
        void routersThatHeardOfTheLastLossTryLaterAfterAQuarantine() {
            loseServers(Quarantine.CRASH_LIMIT, BAD);
            share(LATER_MS);
            long endMs = Quarantine.CRASH_LIMIT * LOSS_GAP_MS + Quarantine.FIRST_QUARANTINE_MS;
            assertEquals(SendRule.LEAST_LOADED, quarantine.sendRule(request(BAD), endMs));
            assertEquals(SendRule.REJECT, peer.sendRule(request(BAD), endMs));
            assertEquals(SendRule.LEAST_LOADED, peer.sendRule(request(BAD), endMs + 10_000));
        }
    }
}
