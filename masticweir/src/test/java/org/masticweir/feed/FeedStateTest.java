package org.masticweir.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.RowKey;

/** What a follower asks next, and when. */
class FeedStateTest {
    private static final FeedOutcome FAILED = new FeedOutcome.Failed("status 503");
    private static final FeedOutcome NOTHING = new FeedOutcome.Rows(List.of(), 7);

    private final FeedState state =
            new FeedState(FeedPace.of(3_000, 700, 500), new SplittableRandom(5));

    @Test
    void readsTheWholeTableFirst() {
        assertInstanceOf(FeedState.Ask.All.class, state.next());
    }

    @Test
    void asksForChangesAfterWhatItHas() {
        state.ended(NOTHING, 0);
        assertEquals(new FeedState.Ask.Since(7), state.next());
    }

    @Test
    void restsAfterChangesSoThatASeriesCostsOneCall() {
        FeedOutcome.Change change =
                new FeedOutcome.Change(RowKey.of("t", "k"), 8, false, Optional.of("v"));
        assertEquals(500, state.ended(new FeedOutcome.Rows(List.of(change), 8), 0));
        assertEquals(0, state.ended(NOTHING, 600));
    }

    @Test
    void readsTheWholeTableWhenTheHistoryIsGone() {
        state.ended(NOTHING, 0);
        state.ended(new FeedOutcome.HistoryGone(), 10);
        assertInstanceOf(FeedState.Ask.All.class, state.next());
    }

    /** The store fails or is silent. */
    @Nested
    class StoreThatIsAway {
        @Test
        void isAskedLessAndLessOften() {
            long first = state.ended(FAILED, 0);
            assertTrue(first >= FeedState.FIRST_BACKOFF_MS / 2, "first pause " + first);
            for (int i = 0; i < 20; i++) {
                state.ended(FAILED, i);
            }
            long later = state.ended(FAILED, 30);
            assertTrue(later >= FeedState.MAX_BACKOFF_MS / 2, "later pause " + later);
            assertTrue(later <= FeedState.MAX_BACKOFF_MS, "later pause " + later);
        }

        /** Entries lapse while the store is away; servers that live are back soon after it. */
        @Test
        void isDoubtedForAWhileAfterItsReturn() {
            state.ended(NOTHING, 0);
            state.ended(FAILED, 1_000);
            state.ended(FAILED, 2_000);
            state.ended(NOTHING, 5_000);
            assertEquals(5_000 + FeedState.DOUBT_MS, state.removalDueMs(5_100));
            assertEquals(8_000, state.removalDueMs(8_000));
        }

        @Test
        void isBelievedAtOnceWhenItWasNotAway() {
            state.ended(NOTHING, 0);
            assertEquals(3_000, state.removalDueMs(3_000));
        }
    }
}
