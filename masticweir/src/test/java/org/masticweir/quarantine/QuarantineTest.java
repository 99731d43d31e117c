package org.masticweir.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.quarantine.Quarantine.Change;
import org.masticweir.quarantine.Quarantine.ContentUpdate;

/** Tests when a content is put into quarantine and when it is no longer suspected. */
class QuarantineTest {
    private static final long MAX_QUARANTINE_MS = 3_600_000;
    private static final ContentId CONTENT = ContentId.of("content");
    private static final RequestContent REQUEST = RequestContent.of(CONTENT);
    private static final RouterId PEER = RouterId.of("r2");

    private final Quarantine quarantine = Quarantine.create(RouterId.of("r1"), MAX_QUARANTINE_MS);

    private static ServerIncarnation incarnation(int number) {
        return ServerIncarnation.of(EngineId.of("i-" + number), 1_000 + number);
    }

    /** Time from a send to the end of its server; long enough for the run to have begun. */
    private static final long RUN_MS = 60;

    private static Loss loss(int number, long endedMs) {
        return new Loss(incarnation(number), endedMs - RUN_MS, endedMs);
    }

    private void loseThreeServers(long nowMs) {
        for (int i = 0; i < Quarantine.CRASH_LIMIT; i++) {
            quarantine.recordLoss(REQUEST, loss(i, nowMs), nowMs);
        }
    }

    private static Change changeOf(ImmutableMap<ContentId, Change> changes) {
        return changes.get(CONTENT);
    }

    private SendRule sendRule(long nowMs) {
        return quarantine.sendRule(REQUEST, nowMs);
    }

    /** Losses that count, and the limit. */
    @Nested
    class CountedLosses {
        @Test
        void contentIsRejectedFromTheLimitOn() {
            assertEquals(SendRule.ANY_SERVER, sendRule(0));
            assertEquals(Change.SUSPECTED, changeOf(quarantine.recordLoss(REQUEST, loss(1, 0), 0)));
            assertEquals(SendRule.ANY_SERVER, sendRule(0));
            assertEquals(Change.SUSPECTED, changeOf(quarantine.recordLoss(REQUEST, loss(2, 0), 0)));
            assertEquals(SendRule.LEAST_LOADED, sendRule(0));
            assertEquals(
                    Change.QUARANTINED, changeOf(quarantine.recordLoss(REQUEST, loss(3, 0), 0)));
            assertEquals(SendRule.REJECT, sendRule(0));
        }

        /**
         * Two routers had sent the same content to one engine, and both observed the loss of this
         * engine.
         */
        @Test
        void serverCountsOnceIfSeveralRoutersLostIt() {
            quarantine.recordLoss(REQUEST, loss(1, 0), 0);
            ContentUpdate sameServer =
                    new ContentUpdate(CrashRecord.of(CONTENT).withLoss(loss(1, 0)), false);
            assertEquals(Change.NONE, quarantine.handleUpdate(PEER, sameServer, 0));
            assertEquals(Change.NONE, changeOf(quarantine.recordLoss(REQUEST, loss(1, 0), 0)));
            assertEquals(1, quarantine.countedLosses(CONTENT).size());
        }

        /**
         * A domain loses its servers at once, and four of them had begun to run a content that many
         * callers send.
         */
        @Test
        void serversThatEndTogetherCountOnce() {
            for (int i = 0; i < 4; i++) {
                quarantine.recordLoss(REQUEST, new Loss(incarnation(i), 500, 1_000 + i), 1_010);
            }
            assertEquals(SendRule.ANY_SERVER, sendRule(1_010));
            quarantine.recordLoss(REQUEST, new Loss(incarnation(5), 1_020, 2_000), 2_000);
            quarantine.recordLoss(REQUEST, new Loss(incarnation(6), 2_010, 3_000), 3_000);
            assertEquals(SendRule.REJECT, sendRule(3_000));
        }

        /**
         * The request was retried at once, and its next server ended before the run could begin.
         */
        @Test
        void serverThatEndsJustAfterAnotherDoesNotCount() {
            quarantine.recordLoss(REQUEST, new Loss(incarnation(1), 0, 1_000), 1_000);
            quarantine.recordLoss(REQUEST, new Loss(incarnation(2), 1_001, 1_010), 1_010);
            quarantine.recordLoss(REQUEST, new Loss(incarnation(3), 1_012, 1_020), 1_020);
            assertEquals(SendRule.ANY_SERVER, sendRule(1_020));
        }

        /** A server that restarts under its id and ends again counts as two losses. */
        @Test
        void eachIncarnationOfAServerCounts() {
            for (int start = 1; start <= Quarantine.CRASH_LIMIT; start++) {
                ServerIncarnation incarnation = ServerIncarnation.of(EngineId.of("i-1"), start);
                quarantine.recordLoss(REQUEST, new Loss(incarnation, 0, RUN_MS), RUN_MS);
            }
            assertEquals(SendRule.REJECT, sendRule(0));
        }

        /**
         * Without this wait, another server might end while the end of the last server is still
         * being confirmed.
         */
        @Test
        void requestsWaitDuringAnInquiry() {
            quarantine.beginInquiry(REQUEST, 0);
            assertEquals(SendRule.WAIT, sendRule(0));
            quarantine.endInquiry(REQUEST);
            assertEquals(SendRule.ANY_SERVER, sendRule(1));
        }

        @Test
        void inquiryWithoutALossLeavesNoEntry() {
            quarantine.beginInquiry(REQUEST, 0);
            quarantine.endInquiry(REQUEST);
            assertTrue(quarantine.isEmpty());
        }
    }

    /** A harmless content that coincided with three crashes must still be served. */
    @Nested
    class Clearing {
        @Test
        void runWithoutCrashClearsEarlierLosses() {
            quarantine.recordLoss(REQUEST, loss(1, 0), 0);
            quarantine.recordLoss(REQUEST, loss(2, 0), 0);
            assertEquals(Change.CLEARED, changeOf(quarantine.recordSuccess(REQUEST, 10, 10)));
            assertEquals(SendRule.ANY_SERVER, sendRule(10));
            assertEquals(
                    Change.SUSPECTED, changeOf(quarantine.recordLoss(REQUEST, loss(3, 20), 20)));
            assertEquals(1, quarantine.countedLosses(CONTENT).size());
        }

        /** The update with an old loss arrives after the loss was withdrawn. */
        @Test
        void lateUpdateDoesNotRestoreAWithdrawnLoss() {
            quarantine.recordLoss(REQUEST, loss(1, 0), 0);
            quarantine.recordSuccess(REQUEST, 10, 10);
            ContentUpdate late =
                    new ContentUpdate(CrashRecord.of(CONTENT).withLoss(loss(1, 0)), false);
            quarantine.handleUpdate(PEER, late, 30);
            assertEquals(SendRule.ANY_SERVER, sendRule(30));
        }

        /** A connection limit was mistaken for the end of a server, which then answered. */
        @Test
        void serverThatAnswersDoesNotCount() {
            quarantine.recordLoss(REQUEST, loss(1, 0), 0);
            assertEquals(ImmutableList.of(CONTENT), quarantine.contentsWithLossOf(incarnation(1)));
            assertEquals(Change.CLEARED, changeOf(quarantine.recordAlive(incarnation(1), 5)));
        }

        /**
         * Without this, a harmless content that coincided with three crashes stays in quarantine
         * for an hour.
         */
        @Test
        void quarantineEndsAndGrowsWithEachCrash() {
            loseThreeServers(0);
            long first = Quarantine.FIRST_QUARANTINE_MS;
            assertEquals(first - 1_000, quarantine.remainingQuarantineMs(REQUEST, 1_000));
            assertEquals(SendRule.REJECT, sendRule(first - 1));
            assertEquals(SendRule.LEAST_LOADED, sendRule(first));
            quarantine.beginTrial(REQUEST, first);
            assertEquals(SendRule.WAIT, sendRule(first + 1));
            quarantine.endTrial(REQUEST);
            quarantine.beginInquiry(REQUEST, first + 1);
            assertEquals(SendRule.WAIT, sendRule(first + 1));
            quarantine.endInquiry(REQUEST);
            Change change = changeOf(quarantine.recordLoss(REQUEST, loss(7, first + 2), first + 2));
            assertEquals(Change.QUARANTINED, change);
            assertTrue(quarantine.remainingQuarantineMs(REQUEST, first + 2) > first);
            assertEquals(SendRule.REJECT, sendRule(3 * first));
        }

        @Test
        void successAfterQuarantineWithdrawsLosses() {
            loseThreeServers(0);
            assertEquals(
                    Change.CLEARED,
                    changeOf(
                            quarantine.recordSuccess(
                                    REQUEST,
                                    Quarantine.FIRST_QUARANTINE_MS,
                                    Quarantine.FIRST_QUARANTINE_MS)));
            assertEquals(SendRule.ANY_SERVER, sendRule(Quarantine.FIRST_QUARANTINE_MS));
        }

        @Test
        void lossesAreRemovedAfterMaxQuarantine() {
            loseThreeServers(0);
            assertEquals(SendRule.ANY_SERVER, sendRule(MAX_QUARANTINE_MS));
        }

        /** Without this, routers would keep sending each other an old content forever. */
        @Test
        void updateOfAnotherRouterDoesNotProlongQuarantine() {
            loseThreeServers(0);
            long halfMs = Quarantine.FIRST_QUARANTINE_MS / 2;
            ContentUpdate same = quarantine.snapshot(halfMs).get(0);
            Quarantine other = Quarantine.create(PEER, MAX_QUARANTINE_MS);
            other.handleUpdate(RouterId.of("r1"), same, halfMs);
            assertEquals(halfMs, other.remainingQuarantineMs(REQUEST, halfMs));
        }
    }

    /** Several copies of one content are submitted at the same time. */
    @Nested
    class Trials {
        @Test
        void oneCopyRunsAtATime() {
            quarantine.recordLoss(REQUEST, loss(1, 0), 0);
            assertTrue(quarantine.beginTrial(REQUEST, 1));
            assertEquals(SendRule.WAIT, sendRule(2));
            quarantine.endTrial(REQUEST);
            assertEquals(SendRule.ANY_SERVER, sendRule(3));
        }

        @Test
        void requestsWaitForAPeersTrialUntilThePeerIsLost() {
            CrashRecord record = CrashRecord.of(CONTENT).withLoss(loss(1, 0));
            quarantine.handleUpdate(PEER, new ContentUpdate(record, true), 0);
            assertEquals(SendRule.WAIT, sendRule(1));
            assertEquals(SendRule.ANY_SERVER, sendRule(Quarantine.PEER_TRIAL_EXPIRY_MS));
            quarantine.handleUpdate(PEER, new ContentUpdate(record, true), 20_000);
            quarantine.removeTrialsOf(PEER);
            assertEquals(SendRule.ANY_SERVER, sendRule(20_001));
        }

        @Test
        void contentWithoutLossesIsNotOnTrial() {
            assertFalse(quarantine.beginTrial(REQUEST, 0));
        }
    }

    /** Updates between routers. */
    @Nested
    class Updates {
        @Test
        void areDrainedOnceAndNotForwarded() {
            quarantine.recordLoss(REQUEST, loss(1, 0), 0);
            assertEquals(1, quarantine.drainUpdates(0).size());
            assertEquals(0, quarantine.drainUpdates(0).size());
            CrashRecord received = CrashRecord.of(CONTENT).withLoss(loss(2, 0));
            assertEquals(
                    Change.SUSPECTED,
                    quarantine.handleUpdate(PEER, new ContentUpdate(received, false), 0));
            assertEquals(0, quarantine.drainUpdates(0).size());
        }

        /** A peer's update arrives before this router has sent its own. */
        @Test
        void ofAPeerDoNotReplaceOwnUpdates() {
            quarantine.recordLoss(REQUEST, loss(1, 0), 0);
            CrashRecord received = CrashRecord.of(CONTENT).withLoss(loss(2, 0));
            quarantine.handleUpdate(PEER, new ContentUpdate(received, false), 0);
            assertEquals(1, quarantine.drainUpdates(0).size());
        }

        /** Updates are lost, doubled and reordered: all routers still reach the same state. */
        @Test
        void leadToTheSameStateInAnyOrder() {
            for (int seed = 0; seed < 200; seed++) {
                Random random = new Random(seed);
                List<ContentUpdate> updates = new ArrayList<>();
                CrashRecord record = CrashRecord.of(CONTENT);
                for (int i = 0; i < 6; i++) {
                    record =
                            random.nextInt(4) == 0
                                    ? record.withSuccess(10 * i)
                                    : record.withLoss(loss(i, 10 * i));
                    updates.add(new ContentUpdate(record, false));
                    updates.add(
                            new ContentUpdate(
                                    CrashRecord.of(CONTENT).withLoss(loss(i, 10 * i)), false));
                }
                Quarantine one = quarantineOf(updates, random);
                Quarantine other = quarantineOf(updates, random);
                assertEquals(lostIncarnations(one), lostIncarnations(other), "seed " + seed);
            }
        }

        private Set<ServerIncarnation> lostIncarnations(Quarantine quarantine) {
            return quarantine.countedLosses(CONTENT).stream()
                    .map(Loss::life)
                    .collect(Collectors.toSet());
        }

        private Quarantine quarantineOf(List<ContentUpdate> updates, Random random) {
            List<ContentUpdate> shuffled = new ArrayList<>(updates);
            shuffled.addAll(updates.subList(0, random.nextInt(updates.size())));
            Collections.shuffle(shuffled, random);
            Quarantine quarantine = Quarantine.create(RouterId.of("r3"), MAX_QUARANTINE_MS);
            shuffled.forEach(u -> quarantine.handleUpdate(PEER, u, 0));
            return quarantine;
        }
    }

    /** A caller submits thousands of contents that each crash a server. */
    @Nested
    class Bounds {
        @Test
        void oldestBelowTheLimitAreEvictedFirst() {
            loseThreeServers(0);
            for (int i = 0; i < CrashEvidence.MAX_CONTENTS; i++) {
                quarantine.recordLoss(RequestContent.of(ContentId.of("c" + i)), loss(i, 1), 1);
            }
            assertEquals(SendRule.REJECT, sendRule(2));
            assertEquals(
                    SendRule.ANY_SERVER,
                    quarantine.sendRule(RequestContent.of(ContentId.of("c0")), 2));
            assertEquals(CrashEvidence.MAX_CONTENTS, quarantine.snapshot(2).size());
        }
    }
}
