package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.recovery.copy.Samples.A;
import static org.masticweir.recovery.copy.Samples.B;
import static org.masticweir.recovery.copy.Samples.FIRST;
import static org.masticweir.recovery.copy.Samples.H1;
import static org.masticweir.recovery.copy.Samples.H2;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RouterId;

/** Tests {@link CopyLookup}. */
final class CopyLookupTest {
    private static final CopyEpoch SECOND = FIRST.nextFor(B);

    private final LookupLimits limits = new LookupLimits(100, 200, 100, 3);
    private final CopyLookup lookup = CopyLookup.of(limits, B, List.of(H1, H2));
    private final List<LookupAction> seen = new ArrayList<>(lookup.start(0));

    private void on(LookupEvent event, long nowMs) {
        seen.addAll(lookup.on(event, nowMs));
    }

    private void found(RouterId from, int tokens) {
        CopySummary summary = new CopySummary(FIRST, true, 1, tokens, false);
        on(new LookupEvent.FindAnswered(from, Optional.of(summary)), 1);
    }

    private void unknown(RouterId from) {
        on(new LookupEvent.FindAnswered(from, Optional.empty()), 1);
    }

    private void moved(RouterId from, CopyEpoch epoch, int tokens) {
        GenerationCopy copy = Samples.copy(epoch, Samples.tokens(0, tokens));
        HolderAnswer answer = new HolderAnswer.Moved(epoch, Optional.of(copy));
        on(new LookupEvent.HolderAnswered(from, answer), 300);
    }

    private LookupAction last() {
        return seen.get(seen.size() - 1);
    }

    /** The search for an owner. */
    @Nested
    final class Finding {
        @Test
        void liveOwnerIsFollowed() {
            found(H2, 4);
            assertTrue(seen.contains(new LookupAction.Subscribe(FIRST)));
            RequestSpec spec = Samples.spec(Samples.REQUEST);
            GenerationSpec generation = Samples.generation(Samples.REQUEST, 1);
            on(new LookupEvent.Subscribed(A, spec, generation), 2);
            assertEquals(new LookupAction.Following(A, spec, generation), last());
        }

        @Test
        void nothingFoundSaysWhetherAllAnswered() {
            unknown(H1);
            unknown(H2);
            assertEquals(new LookupAction.NotFound(true), last());
        }

        /** A duplicate is not held up by a dead candidate, and hears that one did not answer. */
        @Test
        void silentCandidateEndsAtTheBound() {
            unknown(H1);
            on(new LookupEvent.Tick(), 50);
            assertFalse(lookup.done());
            on(new LookupEvent.Tick(), 100);
            assertEquals(new LookupAction.NotFound(false), last());
        }
    }

    /** The take-over from an owner that does not answer. */
    @Nested
    final class DeadOwner {
        /**
         * An adviser's tablet comes back through another router: its own died mid-report. The owner
         * is silent, so the request moves here with every token that was released, and the other
         * candidate refuses the dead owner should it have been only paused.
         */
        @Test
        void isTakenOverAfterItsSilence() {
            found(H1, 4);
            unknown(H2);
            on(new LookupEvent.Tick(), 250);
            assertTrue(seen.contains(new LookupAction.TakeOver(H1, FIRST)));
            moved(H1, SECOND, 4);
            assertTrue(seen.contains(new LookupAction.Fence(H2, SECOND)));
            on(
                    new LookupEvent.HolderAnswered(
                            H2, new HolderAnswer.Moved(SECOND, Optional.empty())),
                    301);
            LookupAction.TakenOver taken = (LookupAction.TakenOver) last();
            assertEquals(4, taken.copy().tokens().length());
        }

        /**
         * A caller would get tokens twice: the owner had moved its copy to a second holder and
         * released more under it. The take-over starts at the longer of the two copies.
         */
        @Test
        void longerOfTwoCopiesWins() {
            found(H1, 4);
            found(H2, 9);
            on(new LookupEvent.SubscribeFailed(A), 2);
            assertTrue(seen.contains(new LookupAction.TakeOver(H2, FIRST)));
        }

        /** The same, but the second holder's answer comes only with the fence. */
        @Test
        void longerCopyFoundByTheFenceIsUsed() {
            found(H1, 4);
            on(new LookupEvent.SubscribeFailed(A), 2);
            moved(H1, SECOND, 4);
            moved(H2, SECOND, 9);
            LookupAction.TakenOver taken = (LookupAction.TakenOver) last();
            assertEquals(9, taken.copy().tokens().length());
            assertEquals(SECOND, taken.copy().epoch());
        }

        /** Two routers find the owner dead; the one that comes second reads from the first. */
        @Test
        void loserOfTwoTakeOversFollowsTheWinner() {
            CopyEpoch other = FIRST.nextFor(RouterId.of("router-c"));
            found(H1, 4);
            unknown(H2);
            on(new LookupEvent.SubscribeFailed(A), 2);
            on(new LookupEvent.HolderAnswered(H1, new HolderAnswer.HeldByOther(other)), 3);
            assertTrue(seen.contains(new LookupAction.Subscribe(other)));
        }

        /** Owner and one holder die together; the second copy serves. */
        @Test
        void nextCopyServesWhenAHolderFails() {
            found(H1, 4);
            found(H2, 4);
            on(new LookupEvent.SubscribeFailed(A), 2);
            on(new LookupEvent.HolderFailed(H1), 3);
            assertTrue(seen.contains(new LookupAction.TakeOver(H2, FIRST)));
            on(new LookupEvent.HolderFailed(H2), 4);
            assertEquals(new LookupAction.NotFound(false), last());
        }
    }
}
