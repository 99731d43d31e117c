package org.masticweir.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.xnio.XnioExecutor;

/** Tests what of a thread's time counts towards a timeout. */
class TurnTimerTest {
    private static final long TIMEOUT_MS = 250;

    private final OneTimer thread = new OneTimer();
    private boolean expired;

    private TurnTimer start(long timeoutMs) {
        return TurnTimer.start(thread, timeoutMs, () -> expired = true);
    }

    /** A thread that takes its turns in time. */
    @Nested
    class Prompt {
        @Test
        void timeoutsEndInTime() {
            for (long ms : new long[] {1, 3, TIMEOUT_MS, 252}) {
                expired = false;
                long startMs = thread.nowMs;
                start(ms);
                thread.turnAt(startMs + ms - 1);
                assertFalse(expired);
                thread.turnAt(startMs + ms);
                assertTrue(expired);
                assertEquals(startMs + ms, thread.nowMs);
            }
        }

        @Test
        void endedWaitNeverExpires() {
            start(TIMEOUT_MS).cancel();
            thread.turnAt(TIMEOUT_MS);
            assertFalse(expired);
        }
    }

    /** A thread that stalls. */
    @Nested
    class Stalled {
        /*
         * All engines turn suspect at once and callers are refused. The thread that asked them
         * stalls for seven timeouts, and runs the overdue timer before it reads their answers.
         */
        @Test
        void stallUsesUpOneTurn() {
            start(TIMEOUT_MS);
            thread.stallUntil(7 * TIMEOUT_MS);
            long leftMs = TIMEOUT_MS - TIMEOUT_MS / TurnTimer.TURNS;
            thread.turnAt(7 * TIMEOUT_MS + leftMs - 1);
            assertFalse(expired);
            thread.turnAt(7 * TIMEOUT_MS + leftMs);
            assertTrue(expired);
        }
    }

    /** A thread with one timer, on a clock that the test moves. */
    private static final class OneTimer implements XnioExecutor {
        private long nowMs;
        private long dueMs;
        private Runnable due;

        /** Runs what is due up to {@code ms}, each at its time. */
        void turnAt(long ms) {
            while (due != null && dueMs <= ms) {
                nowMs = dueMs;
                run();
            }
            nowMs = ms;
        }

        /** Runs what is overdue at {@code ms} only then, and once. */
        void stallUntil(long ms) {
            nowMs = ms;
            run();
        }

        private void run() {
            Runnable task = due;
            due = null;
            task.run();
        }

        @Override
        public Key executeAfter(Runnable task, long time, TimeUnit unit) {
            due = task;
            dueMs = nowMs + unit.toMillis(time);
            return () -> {
                due = null;
                return true;
            };
        }

        @Override
        public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void execute(Runnable task) {
            task.run();
        }
    }
}
