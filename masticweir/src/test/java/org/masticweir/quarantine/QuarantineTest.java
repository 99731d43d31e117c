package org.masticweir.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
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
import org.masticweir.quarantine.Quarantine.News;

/** When a content is not sent any more, and what clears it. */
class QuarantineTest {
    private static final long HOLD_MS = 3_600_000;
    private static final ContentId LETTER = ContentId.of("letter");
    private static final RouterId PEER = RouterId.of("r2");

    private final Quarantine quarantine = Quarantine.create(RouterId.of("r1"), HOLD_MS);

    private static ServerIncarnation life(int number) {
        return ServerIncarnation.of(EngineId.of("i-" + number), 1_000 + number);
    }

    /** Time from a send to the end of its server: it has begun to run the request. */
    private static final long RUN_MS = 60;

    private static Loss loss(int number, long endedMs) {
        return new Loss(life(number), endedMs - RUN_MS, endedMs);
    }

    private void endThree(long nowMs) {
        for (int i = 0; i < Quarantine.LIMIT; i++) {
            quarantine.ended(LETTER, loss(i, nowMs), nowMs);
        }
    }

    private SendRule rule(long nowMs) {
        return quarantine.rule(LETTER, nowMs);
    }

    /** Evidence and the limit. */
    @Nested
    class Evidence {
        @Test
        void contentIsNotSentAfterTheLimit() {
            assertEquals(SendRule.ANY_SERVER, rule(0));
            assertEquals(Change.SUSPECTED, quarantine.ended(LETTER, loss(1, 0), 0));
            assertEquals(SendRule.ANY_SERVER, rule(0));
            assertEquals(Change.SUSPECTED, quarantine.ended(LETTER, loss(2, 0), 0));
            assertEquals(SendRule.LEAST_LOADED, rule(0));
            assertEquals(Change.QUARANTINED, quarantine.ended(LETTER, loss(3, 0), 0));
            assertEquals(SendRule.REJECT, rule(0));
        }

        /** Two routers had the same letter at one engine, and each lost it there. */
        @Test
        void serverCountsOnceWhoeverLostIt() {
            quarantine.ended(LETTER, loss(1, 0), 0);
            News sameServer = new News(CrashRecord.of(LETTER).with(loss(1, 0)), false);
            assertEquals(Change.NONE, quarantine.told(PEER, sameServer, 0));
            assertEquals(Change.NONE, quarantine.ended(LETTER, loss(1, 0), 0));
            assertEquals(1, quarantine.held(LETTER).size());
        }

        /**
         * A domain loses its servers at one moment, and a letter that many callers have had begun
         * on three of them.
         */
        @Test
        void serversThatEndTogetherCountOnce() {
            for (int i = 0; i < 4; i++) {
                quarantine.ended(LETTER, new Loss(life(i), 500, 1_000 + i), 1_010);
            }
            assertEquals(SendRule.ANY_SERVER, rule(1_010));
            quarantine.ended(LETTER, new Loss(life(5), 1_020, 2_000), 2_000);
            quarantine.ended(LETTER, new Loss(life(6), 2_010, 3_000), 3_000);
            assertEquals(SendRule.REJECT, rule(3_000));
        }

        /** The letter was sent on at once, and its next server ended before it could begin. */
        @Test
        void serverThatEndsJustAfterAnotherHasHardlyBegun() {
            quarantine.ended(LETTER, new Loss(life(1), 0, 1_000), 1_000);
            quarantine.ended(LETTER, new Loss(life(2), 1_001, 1_010), 1_010);
            quarantine.ended(LETTER, new Loss(life(3), 1_012, 1_020), 1_020);
            assertEquals(SendRule.ANY_SERVER, rule(1_020));
        }

        /** A server that starts again under its id and ends again has ended twice. */
        @Test
        void eachLifeOfAServerCounts() {
            for (int start = 1; start <= Quarantine.LIMIT; start++) {
                ServerIncarnation life = ServerIncarnation.of(EngineId.of("i-1"), start);
                quarantine.ended(LETTER, new Loss(life, 0, RUN_MS), RUN_MS);
            }
            assertEquals(SendRule.REJECT, rule(0));
        }

        /** Another server ends while it is still being found out that the last one did. */
        @Test
        void lossThatIsLookedIntoIsWaitedFor() {
            quarantine.inquiryBegins(LETTER, 0);
            assertEquals(SendRule.WAIT, rule(0));
            quarantine.inquiryEnded(LETTER);
            assertEquals(SendRule.ANY_SERVER, rule(1));
        }

        @Test
        void lossWithoutAnEndLeavesNothingBehind() {
            quarantine.inquiryBegins(LETTER, 0);
            quarantine.inquiryEnded(LETTER);
            assertTrue(quarantine.isEmpty());
        }
    }

    /** A household's letter was unlucky three times; its caller must get it all the same. */
    @Nested
    class Clearing {
        @Test
        void runWithoutHarmClearsWhatWasBefore() {
            quarantine.ended(LETTER, loss(1, 0), 0);
            quarantine.ended(LETTER, loss(2, 0), 0);
            assertEquals(Change.CLEARED, quarantine.ranWell(LETTER, 10));
            assertEquals(SendRule.ANY_SERVER, rule(10));
            assertEquals(Change.SUSPECTED, quarantine.ended(LETTER, loss(3, 20), 20));
            assertEquals(1, quarantine.held(LETTER).size());
        }

        /** Word of an old loss comes after the word that cleared it. */
        @Test
        void lateWordDoesNotUndoIt() {
            quarantine.ended(LETTER, loss(1, 0), 0);
            quarantine.ranWell(LETTER, 10);
            News late = new News(CrashRecord.of(LETTER).with(loss(1, 0)), false);
            quarantine.told(PEER, late, 30);
            assertEquals(SendRule.ANY_SERVER, rule(30));
        }

        /** A connection limit was taken for the end of a server, which then answered. */
        @Test
        void serverThatAnswersIsNotHeldAgainstAnyContent() {
            quarantine.ended(LETTER, loss(1, 0), 0);
            assertEquals(ImmutableList.of(LETTER), quarantine.heldFor(life(1)));
            assertEquals(Change.CLEARED, quarantine.lives(LETTER, life(1), 5));
        }

        /** Sound work that was unlucky three times was refused for an hour. */
        @Test
        void contentIsTriedAgainAfterEachHoldWhichGrows() {
            endThree(0);
            long first = Quarantine.FIRST_HOLD_MS;
            assertEquals(first - 1_000, quarantine.holdLeftMs(LETTER, 1_000));
            assertEquals(SendRule.REJECT, rule(first - 1));
            assertEquals(SendRule.LEAST_LOADED, rule(first));
            quarantine.trialBegins(LETTER, first);
            assertEquals(SendRule.WAIT, rule(first + 1));
            quarantine.trialEnded(LETTER);
            quarantine.inquiryBegins(LETTER, first + 1);
            assertEquals(SendRule.WAIT, rule(first + 1));
            quarantine.inquiryEnded(LETTER);
            Change change = quarantine.ended(LETTER, loss(7, first + 2), first + 2);
            assertEquals(Change.QUARANTINED, change);
            assertTrue(quarantine.holdLeftMs(LETTER, first + 2) > first);
            assertEquals(SendRule.REJECT, rule(3 * first));
        }

        @Test
        void contentThatRunsWellAfterItsHoldIsCleared() {
            endThree(0);
            assertEquals(Change.CLEARED, quarantine.ranWell(LETTER, Quarantine.FIRST_HOLD_MS));
            assertEquals(SendRule.ANY_SERVER, rule(Quarantine.FIRST_HOLD_MS));
        }

        @Test
        void evidenceIsForgottenAfterTheLongestHold() {
            endThree(0);
            assertEquals(SendRule.ANY_SERVER, rule(HOLD_MS));
        }

        /** Routers told each other of an old content for ever. */
        @Test
        void wordOfAnotherRouterDoesNotProlongTheHold() {
            endThree(0);
            long halfMs = Quarantine.FIRST_HOLD_MS / 2;
            News same = quarantine.all(halfMs).get(0);
            Quarantine other = Quarantine.create(PEER, HOLD_MS);
            other.told(RouterId.of("r1"), same, halfMs);
            assertEquals(halfMs, other.holdLeftMs(LETTER, halfMs));
        }
    }

    /** Twenty copies of one letter, sent at one moment. */
    @Nested
    class Trials {
        @Test
        void oneCopyRunsAtATime() {
            quarantine.ended(LETTER, loss(1, 0), 0);
            assertTrue(quarantine.trialBegins(LETTER, 1));
            assertEquals(SendRule.WAIT, rule(2));
            quarantine.trialEnded(LETTER);
            assertEquals(SendRule.ANY_SERVER, rule(3));
        }

        @Test
        void trialOfAnotherRouterIsWaitedForUntilItIsLost() {
            CrashRecord record = CrashRecord.of(LETTER).with(loss(1, 0));
            quarantine.told(PEER, new News(record, true), 0);
            assertEquals(SendRule.WAIT, rule(1));
            assertEquals(SendRule.ANY_SERVER, rule(Quarantine.TRIAL_LOST_MS));
            quarantine.told(PEER, new News(record, true), 20_000);
            quarantine.forget(PEER);
            assertEquals(SendRule.ANY_SERVER, rule(20_001));
        }

        @Test
        void contentThatNothingIsHeldAgainstIsNotOnTrial() {
            assertFalse(quarantine.trialBegins(LETTER, 0));
        }
    }

    /** What routers tell each other. */
    @Nested
    class Words {
        @Test
        void areTakenOnceAndNotToldOn() {
            quarantine.ended(LETTER, loss(1, 0), 0);
            assertEquals(1, quarantine.takeNews(0).size());
            assertEquals(0, quarantine.takeNews(0).size());
            CrashRecord told = CrashRecord.of(LETTER).with(loss(2, 0));
            assertEquals(Change.SUSPECTED, quarantine.told(PEER, new News(told, false), 0));
            assertEquals(0, quarantine.takeNews(0).size());
        }

        /** A peer's word comes while this router's own is still to be told. */
        @Test
        void ofAPeerDoNotReplaceTheOwn() {
            quarantine.ended(LETTER, loss(1, 0), 0);
            CrashRecord told = CrashRecord.of(LETTER).with(loss(2, 0));
            quarantine.told(PEER, new News(told, false), 0);
            assertEquals(1, quarantine.takeNews(0).size());
        }

        /** Words are lost, doubled and come in any order: all routers still agree in the end. */
        @Test
        void leadToTheSameInAnyOrder() {
            for (int seed = 0; seed < 200; seed++) {
                Random random = new Random(seed);
                List<News> words = new ArrayList<>();
                CrashRecord record = CrashRecord.of(LETTER);
                for (int i = 0; i < 6; i++) {
                    record =
                            random.nextInt(4) == 0 ? record.withdrawAll() : record.with(loss(i, 0));
                    words.add(new News(record, false));
                    words.add(new News(CrashRecord.of(LETTER).with(loss(i, 0)), false));
                }
                Quarantine one = quarantineOf(words, random);
                Quarantine other = quarantineOf(words, random);
                assertEquals(held(one), held(other), "seed " + seed);
            }
        }

        private Set<ServerIncarnation> held(Quarantine heard) {
            return heard.held(LETTER).stream().map(Loss::incarnation).collect(Collectors.toSet());
        }

        private Quarantine quarantineOf(List<News> words, Random random) {
            List<News> shuffled = new ArrayList<>(words);
            shuffled.addAll(words.subList(0, random.nextInt(words.size())));
            Collections.shuffle(shuffled, random);
            Quarantine heard = Quarantine.create(RouterId.of("r3"), HOLD_MS);
            shuffled.forEach(w -> heard.told(PEER, w, 0));
            return heard;
        }
    }

    /** A caller makes thousands of contents that each end a server. */
    @Nested
    class Bounds {
        @Test
        void oldestBelowTheLimitAreForgottenFirst() {
            endThree(0);
            for (int i = 0; i < Quarantine.MOST_CONTENTS; i++) {
                quarantine.ended(ContentId.of("c" + i), loss(i, 1), 1);
            }
            assertEquals(SendRule.REJECT, rule(2));
            assertEquals(SendRule.ANY_SERVER, quarantine.rule(ContentId.of("c0"), 2));
            assertEquals(Quarantine.MOST_CONTENTS, quarantine.all(2).size());
        }
    }
}
