package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.recovery.copy.Samples.FIRST;

import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When appends go, and together with which others. */
final class AppendQueueTest {
    private static final int BATCH_TOKENS = 3;
    private static final long PACE_MS = 5;

    private long number;

    private AppendQueue.Entry entry() {
        return new AppendQueue.Entry(Samples.append(FIRST, 0, 7), ++number, event -> {});
    }

    private static int sent(AppendQueue.Turn turn) {
        return turn.batch().map(b -> b.entries().size()).orElse(0);
    }

    /** A holder among few, which is sent to as fast as it answers. */
    @Nested
    final class WithoutPace {
        private final AppendQueue queue = new AppendQueue(BATCH_TOKENS, () -> 0);

        @Test
        void appendsOfOneRoundTripShareAFrame() {
            assertEquals(1, sent(queue.add(entry(), 0)));
            assertEquals(0, sent(queue.add(entry(), 0)));
            assertEquals(0, sent(queue.add(entry(), 0)));
            assertEquals(2, sent(queue.next(0)));
            assertEquals(0, sent(queue.next(0)));
            assertTrue(queue.idle());
        }

        @Test
        void aFullFrameLeavesTheRestToTheNext() {
            queue.add(entry(), 0);
            for (int i = 0; i < BATCH_TOKENS + 1; i++) {
                queue.add(entry(), 0);
            }
            assertEquals(BATCH_TOKENS, sent(queue.next(0)));
            assertEquals(1, sent(queue.next(0)));
        }
    }

    /** A holder among many. */
    @Nested
    final class WithPace {
        private final AppendQueue queue = new AppendQueue(BATCH_TOKENS, () -> PACE_MS);

        @Test
        void theFirstAfterAPauseGoesAtOnce() {
            assertEquals(1, sent(queue.add(entry(), 0)));
            queue.next(1);
            assertEquals(1, sent(queue.add(entry(), PACE_MS)));
        }

        /**
         * A router with 42 holders sent nearly each token in a frame of its own, as each holder had
         * answered the one before when the next came: a whole core went into frames.
         */
        @Test
        void anAnswerBeforeTheTimeSendsNothingYet() {
            queue.add(entry(), 0);
            queue.add(entry(), 1);
            AppendQueue.Turn answered = queue.next(2);
            assertEquals(0, sent(answered));
            assertEquals(OptionalLong.of(PACE_MS - 2), answered.wakeUpMs());
            AppendQueue.Turn more = queue.add(entry(), 3);
            assertEquals(OptionalLong.empty(), more.wakeUpMs());
            assertEquals(2, sent(queue.wokenUp(PACE_MS)));
        }

        /** A holder's answer comes after the wake-up: what waited goes with the answer. */
        @Test
        void aWakeUpWhileABatchIsOnItsWayLosesNothing() {
            queue.add(entry(), 0);
            queue.next(1);
            queue.add(entry(), 2);
            assertEquals(1, sent(queue.wokenUp(PACE_MS)));
            queue.add(entry(), PACE_MS);
            assertEquals(0, sent(queue.wokenUp(2 * PACE_MS)));
            assertEquals(1, sent(queue.next(2 * PACE_MS)));
        }
    }

    /** The bound of frames, by the number of holders. */
    @Test
    void onlyManyHoldersArePaced() {
        CopyLinkLimits limits = CopyLinkLimits.defaults();
        assertEquals(0, limits.paceMs(7));
        assertEquals(5, limits.paceMs(42));
        assertEquals(10, limits.paceMs(400));
    }
}
