package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.recovery.copy.Samples.FIRST;
import static org.masticweir.recovery.copy.Samples.H1;
import static org.masticweir.recovery.copy.Samples.H2;
import static org.masticweir.recovery.copy.Samples.H3;
import static org.masticweir.recovery.copy.Samples.RANKING;

import com.google.common.primitives.ImmutableIntArray;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.Reliability;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.id.RouterId;

/** Tests {@link CopySender}. */
final class CopySenderTest {
    private static final long ACK_MS = 100;
    private static final long ALONE_MS = 500;
    private static final long END_OFFER_MS = 10_000;

    private final List<CopyAction> seen = new ArrayList<>();
    private CopySender sender;

    private int rankings;

    private void open(Reliability reliability) {
        HolderRanking counting =
                (request, owner, n) -> {
                    rankings++;
                    return RANKING.holdersFor(request, owner, n);
                };
        CopyPlan plan = new CopyPlan(reliability, ACK_MS, ALONE_MS, 50, END_OFFER_MS, 3);
        TokenSource source = (from, to) -> ImmutableIntArray.copyOf(Samples.tokens(from, to));
        sender = CopySender.opening(plan, Samples.fresh(FIRST), source, counting, 0);
        seen.addAll(sender.start(0));
    }

    private void on(CopyEvent event, long nowMs) {
        seen.addAll(sender.on(event, nowMs));
    }

    private void answer(HolderAnswer answer, long nowMs) {
        CopyAction.SendToHolder sent = lastSent();
        on(new CopyEvent.Answered(sent.holder(), sent.number(), answer), nowMs);
    }

    private void openAtFirstHolder(Reliability reliability) {
        open(reliability);
        answer(new HolderAnswer.Granted(), 1);
    }

    private CopyAction.SendToHolder lastSent() {
        List<CopyAction.SendToHolder> sent = sent();
        return sent.get(sent.size() - 1);
    }

    private List<CopyAction.SendToHolder> sent() {
        return all(CopyAction.SendToHolder.class);
    }

    private int released() {
        List<CopyAction.ReleaseTo> releases = all(CopyAction.ReleaseTo.class);
        return releases.isEmpty() ? 0 : releases.get(releases.size() - 1).index();
    }

    private <T extends CopyAction> List<T> all(Class<T> type) {
        return seen.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Which router starts a request. */
    @Nested
    final class Opening {
        @Test
        void startsOnlyOnceTheHolderGrantedIt() {
            open(Reliability.TOKENS);
            assertTrue(all(CopyAction.Start.class).isEmpty());
            answer(new HolderAnswer.Granted(), 1);
            assertEquals(1, all(CopyAction.Start.class).size());
        }

        @Test
        void joinsTheOwnerThatWasFirst() {
            CopyEpoch other = CopyEpoch.first(Samples.B);
            open(Reliability.TOKENS);
            answer(new HolderAnswer.HeldByOther(other), 1);
            assertEquals(List.of(new CopyAction.Join(other)), all(CopyAction.Join.class));
            assertTrue(all(CopyAction.Start.class).isEmpty());
        }

        @Test
        void bestEffortStartsAtOnceAndSendsNothing() {
            open(Reliability.BEST_EFFORT);
            on(new CopyEvent.Accepted(3), 1);
            assertEquals(3, released());
            assertTrue(sent().isEmpty());
        }
    }

    /** Batches, placements and the end. */
    @Nested
    final class Copying {
        @Test
        void gathersTokensWhileABatchIsOnItsWay() {
            openAtFirstHolder(Reliability.TOKENS);
            for (int i = 1; i <= 5; i++) {
                on(new CopyEvent.Accepted(i), i);
            }
            assertEquals(0, released());
            assertEquals(2, sent().size());
            answer(new HolderAnswer.Acked(1, 1), 6);
            assertEquals(1, released());
            answer(new HolderAnswer.Acked(1, 5), 7);
            assertEquals(5, released());
            assertEquals(3, sent().size());
        }

        /**
         * A user sees a router of a large domain stream slowly, and slower with each router added.
         * Cause: each append asked whether the router is alone, which ranks all the others.
         */
        @Test
        void routersAreNotRankedForEachAppend() {
            openAtFirstHolder(Reliability.TOKENS);
            int before = rankings;
            for (int i = 1; i <= 50; i++) {
                on(new CopyEvent.Accepted(i), i);
                answer(new HolderAnswer.Acked(1, i), i);
            }
            assertEquals(50, released());
            assertEquals(before, rankings);
        }

        @Test
        void endFollowsTheLastToken() {
            openAtFirstHolder(Reliability.TOKENS);
            on(new CopyEvent.Accepted(2), 1);
            on(new CopyEvent.Ended(new AnswerEnd.Completed("")), 1);
            answer(new HolderAnswer.Acked(1, 2), 2);
            assertTrue(all(CopyAction.ReleaseEnd.class).isEmpty());
            answer(new HolderAnswer.Acked(1, 2), 3);
            assertEquals(1, all(CopyAction.ReleaseEnd.class).size());
        }

        @Test
        void placementIsCopiedWithoutWaiting() {
            openAtFirstHolder(Reliability.PLACEMENT);
            on(new CopyEvent.Placed(Samples.placement(1, "e1")), 1);
            on(new CopyEvent.Accepted(4), 2);
            assertEquals(4, released());
            CopyCommand.Append append = (CopyCommand.Append) lastSent().command();
            assertEquals(Samples.placement(1, "e1"), append.placement().orElseThrow());
            answer(new HolderAnswer.Acked(1, 0), 3);
            on(new CopyEvent.Accepted(9), 4);
            assertEquals(2, sent().size());
        }
    }

    /** Holders that die, forget or cannot be reached. */
    @Nested
    final class HolderLoss {
        /**
         * A caller's answer stops for a moment: the holder of its copy dies without a word, so no
         * token is acknowledged. The next holder gets the whole copy, and then the tokens go on.
         */
        @Test
        void silentHolderIsReplacedByTheNext() {
            openAtFirstHolder(Reliability.TOKENS);
            on(new CopyEvent.Accepted(3), 1);
            on(new CopyEvent.Tick(), 1 + ACK_MS);
            assertEquals(H2, lastSent().holder());
            CopyCommand.Replace whole = (CopyCommand.Replace) lastSent().command();
            assertEquals(3, whole.copy().tokens().length());
            assertEquals(0, released());
            answer(new HolderAnswer.Acked(1, 3), 110);
            assertEquals(3, released());
        }

        /**
         * Callers of a router that is cut off from all its peers still get their answers: no holder
         * can be reached, and after the bound the tokens go on without a copy, and say so.
         */
        @Test
        void loneRouterGoesOnUnprotected() {
            openAtFirstHolder(Reliability.TOKENS);
            on(new CopyEvent.Accepted(3), 1);
            for (RouterId h : List.of(H1, H2, H3)) {
                on(new CopyEvent.HolderLost(h), 2);
            }
            assertEquals(0, released());
            for (long t = 60; t <= ALONE_MS; t += 10) {
                on(new CopyEvent.HolderLost(lastSent().holder()), t);
                on(new CopyEvent.Tick(), t);
            }
            on(new CopyEvent.HolderLost(lastSent().holder()), ALONE_MS + 3);
            assertEquals(3, released());
            assertTrue(sender.unprotected());
            on(new CopyEvent.Tick(), ALONE_MS + 60);
            answer(new HolderAnswer.Acked(1, 3), ALONE_MS + 61);
            assertFalse(sender.unprotected());
        }

        /** Lets every command find its holder gone, from one time to another. */
        private void withoutHolder(long fromMs, long toMs) {
            for (long t = fromMs; t <= toMs; t += 10) {
                on(new CopyEvent.HolderLost(lastSent().holder()), t);
                on(new CopyEvent.Tick(), t);
            }
        }

        private void endWithoutHolder() {
            openAtFirstHolder(Reliability.TOKENS);
            on(new CopyEvent.Accepted(3), 1);
            on(new CopyEvent.Ended(new AnswerEnd.Completed("")), 2);
            withoutHolder(10, ALONE_MS + 10);
            assertEquals(1, all(CopyAction.ReleaseEnd.class).size());
        }

        /**
         * A domain comes back after an hour and its links carry nothing else for a while: each
         * answer that ended meanwhile was offered to a holder all the time, and now goes out whole.
         */
        @Test
        void endIsNotOfferedForEver() {
            endWithoutHolder();
            withoutHolder(ALONE_MS + 20, ALONE_MS + END_OFFER_MS + 20);
            int before = sent().size();
            withoutHolder(ALONE_MS + END_OFFER_MS + 30, ALONE_MS + 2 * END_OFFER_MS);
            assertEquals(before, sent().size());
        }

        /**
         * A caller has the whole answer; its router was cut off, another one took the request over
         * and the router hears of it after the end. The caller must not get a second end.
         */
        @Test
        void takeOverHeardOfAfterTheEndUndoesNothing() {
            endWithoutHolder();
            answer(new HolderAnswer.StaleEpoch(FIRST.nextFor(Samples.B)), ALONE_MS + 20);
            assertTrue(all(CopyAction.Fenced.class).isEmpty());
        }

        /** A restarted holder knows nothing; it gets the whole copy, and no token is lost. */
        @Test
        void holderThatForgotGetsTheWholeCopy() {
            openAtFirstHolder(Reliability.TOKENS);
            on(new CopyEvent.Accepted(3), 1);
            answer(new HolderAnswer.Missing(), 2);
            assertEquals(H1, lastSent().holder());
            assertTrue(lastSent().command() instanceof CopyCommand.Replace);
        }
    }

    /** An owner that was paused. */
    @Nested
    final class Pause {
        /**
         * A caller would get tokens twice in two wordings: the owner is paused, its request is
         * taken over, it wakes. Its timer is long past, but it must not take that for its holder's
         * death and go elsewhere; the holder that knows of the take-over is heard first.
         */
        @Test
        void wokenOwnerHearsItsHolderAndIsFenced() {
            openAtFirstHolder(Reliability.TOKENS);
            on(new CopyEvent.Accepted(3), 1);
            on(new CopyEvent.Tick(), 60_000);
            assertEquals(H1, lastSent().holder());
            CopyEpoch second = FIRST.nextFor(Samples.B);
            answer(new HolderAnswer.StaleEpoch(second), 60_001);
            on(new CopyEvent.Accepted(9), 60_002);
            assertEquals(0, released());
            assertEquals(List.of(new CopyAction.Fenced(second)), all(CopyAction.Fenced.class));
        }
    }
}
