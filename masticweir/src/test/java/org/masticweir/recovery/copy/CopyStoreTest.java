package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.recovery.copy.Samples.A;
import static org.masticweir.recovery.copy.Samples.B;
import static org.masticweir.recovery.copy.Samples.FIRST;
import static org.masticweir.recovery.copy.Samples.REQUEST;
import static org.masticweir.recovery.copy.Samples.append;
import static org.masticweir.recovery.copy.Samples.copy;
import static org.masticweir.recovery.copy.Samples.fresh;
import static org.masticweir.recovery.copy.Samples.tokens;

import com.google.common.primitives.ImmutableIntArray;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.id.RequestId;

/** Tests {@link CopyStore}. */
final class CopyStoreTest {
    private static final CopyEpoch SECOND = FIRST.nextFor(B);
    private static final RequestId OTHER = RequestId.of("request-2");

    private final CopyStore store = CopyStore.within(new StoreLimits(2, 1 << 20, 100, 1_000));

    private HolderAnswer open(CopyEpoch epoch) {
        return store.apply(new CopyCommand.Open(fresh(epoch)), 0);
    }

    private GenerationCopy held() {
        return store.reads().copy(REQUEST, 50).orElseThrow();
    }

    /** Who owns a request. */
    @Nested
    final class Owners {
        /** Of two routers that open one request at one moment, the holder lets the first own it. */
        @Test
        void firstToOpenOwnsTheRequest() {
            assertEquals(new HolderAnswer.Granted(), open(FIRST));
            assertEquals(new HolderAnswer.HeldByOther(FIRST), open(CopyEpoch.first(B)));
            assertEquals(new HolderAnswer.Granted(), open(FIRST));
        }

        /**
         * A caller would see two answers mixed: the owner is paused, another router takes its
         * request over, then the owner wakes and sends what its engine gave before the pause.
         */
        @Test
        void appendOfAReplacedOwnerIsStale() {
            open(FIRST);
            store.apply(append(FIRST, 0, tokens(0, 3)), 10);
            store.takeOver(REQUEST, FIRST, B, 20);
            assertEquals(
                    new HolderAnswer.StaleEpoch(SECOND),
                    store.apply(append(FIRST, 3, tokens(3, 5)), 30));
            assertEquals(
                    new HolderAnswer.StaleEpoch(SECOND),
                    store.apply(new CopyCommand.Replace(copy(FIRST, tokens(0, 9))), 30));
            assertEquals(ImmutableIntArray.copyOf(tokens(0, 3)), held().tokens());
            assertEquals(50, held().ageMs());
        }

        /**
         * A caller who comes back would be given a second computing of its report: its router left
         * the key to another domain's router, and the copy that it had opened stayed here. A copy
         * that was taken over since is another owner's and stays.
         */
        @Test
        void aCopyOfWhichNothingRanIsWithdrawn() {
            open(FIRST);
            store.withdraw(REQUEST, FIRST);
            assertEquals(Optional.empty(), store.reads().find(REQUEST));
            assertEquals(0, store.reads().bytes());
            open(FIRST);
            store.takeOver(REQUEST, FIRST, B, 1);
            store.withdraw(REQUEST, FIRST);
            assertEquals(SECOND, held().epoch());
        }

        /**
         * Two answers would run: two callers come back through two routers, and both find the owner
         * dead. The take-over names the epoch it replaces, so the second one is told of the first.
         */
        @Test
        void oneOfTwoTakeOversWins() {
            open(FIRST);
            assertInstanceOf(HolderAnswer.Moved.class, store.takeOver(REQUEST, FIRST, B, 1));
            assertEquals(
                    new HolderAnswer.HeldByOther(SECOND),
                    store.takeOver(REQUEST, FIRST, Samples.H2, 2));
            assertInstanceOf(HolderAnswer.Moved.class, store.takeOver(REQUEST, FIRST, B, 3));
        }

        /**
         * A caller would see tokens of a replaced owner: it wakes, finds its holder gone and sends
         * the whole copy to the next, which never had one. The epoch left there refuses it.
         */
        @Test
        void fencedHolderRefusesAnOldWholeCopy() {
            store.fence(REQUEST, SECOND, 0);
            assertEquals(
                    new HolderAnswer.StaleEpoch(SECOND),
                    store.apply(new CopyCommand.Replace(copy(FIRST, tokens(0, 2))), 1));
            assertEquals(new HolderAnswer.HeldByOther(SECOND), open(FIRST));
            assertEquals(
                    new HolderAnswer.Acked(1, 2),
                    store.apply(new CopyCommand.Replace(copy(SECOND, tokens(0, 2))), 1));
        }
    }

    /** What appends and whole copies do to the tokens. */
    @Nested
    final class Tokens {
        @Test
        void repeatedAndOverlappingAppendsAddOnlyWhatIsNew() {
            open(FIRST);
            store.apply(append(FIRST, 0, tokens(0, 3)), 1);
            store.apply(append(FIRST, 1, tokens(1, 5)), 1);
            assertEquals(
                    new HolderAnswer.Acked(1, 5), store.apply(append(FIRST, 0, tokens(0, 2)), 1));
            assertEquals(ImmutableIntArray.copyOf(tokens(0, 5)), held().tokens());
        }

        /** A late whole copy would take tokens back that were acknowledged, and released since. */
        @Test
        void delayedWholeCopyUndoesNothing() {
            open(FIRST);
            store.apply(append(FIRST, 0, tokens(0, 5)), 1);
            store.apply(new CopyCommand.Replace(copy(FIRST, tokens(0, 2))), 2);
            assertEquals(5, held().tokens().length());
        }

        @Test
        void gapOrUnknownRequestIsMissing() {
            HolderAnswer missing = new HolderAnswer.Missing();
            assertEquals(missing, store.apply(append(FIRST, 0, 1), 0));
            open(FIRST);
            assertEquals(missing, store.apply(append(FIRST, 4, 1), 0));
        }
    }

    /** Limits in count, bytes and time. */
    @Nested
    final class Bounds {
        private void openOther() {
            GenerationCopy other =
                    GenerationCopy.fresh(FIRST, Samples.spec(OTHER), Samples.generation(OTHER, 1));
            store.apply(new CopyCommand.Open(other), 0);
        }

        private HolderAnswer openThird() {
            RequestId third = RequestId.of("request-3");
            return store.apply(
                    new CopyCommand.Open(
                            GenerationCopy.fresh(
                                    FIRST, Samples.spec(third), Samples.generation(third, 1))),
                    0);
        }

        private void finish() {
            store.apply(
                    new CopyCommand.Append(
                            REQUEST,
                            FIRST,
                            1,
                            0,
                            ImmutableIntArray.of(),
                            Optional.empty(),
                            Optional.of(new AnswerEnd.Completed(""))),
                    0);
        }

        @Test
        void onlyFinishedCopiesGiveWay() {
            open(FIRST);
            openOther();
            assertEquals(new HolderAnswer.Full(), openThird());
            finish();
            assertEquals(new HolderAnswer.Granted(), openThird());
            assertTrue(store.reads().find(REQUEST).isEmpty());
        }

        @Test
        void finishedAndAbandonedCopiesExpire() {
            open(FIRST);
            openOther();
            finish();
            assertEquals(1, store.expire(100));
            assertEquals(0, store.expire(999));
            assertEquals(1, store.expire(1_000));
            assertEquals(0, store.reads().bytes());
        }

        /** An owner whose long answer outgrows the store is told, so that it moves its copy. */
        @Test
        void appendBeyondTheByteBoundIsFull() {
            CopyStore small = CopyStore.within(new StoreLimits(2, 1_000, 100, 1_000));
            small.apply(new CopyCommand.Open(fresh(FIRST)), 0);
            assertEquals(new HolderAnswer.Full(), small.apply(append(FIRST, 0, tokens(0, 200)), 0));
        }
    }

    @Test
    void epochsAreOrderedByNumberThenOwner() {
        assertTrue(CopyEpoch.first(A).isBelow(CopyEpoch.first(B)));
        assertTrue(CopyEpoch.first(B).isBelow(CopyEpoch.first(B).nextFor(A)));
    }
}
