package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.masticweir.time.ManualClock;

/** Tests {@link WakeUp}. */
final class WakeUpTest {
    private final List<Timer> timers = new ArrayList<>();
    private final List<Long> ran = new ArrayList<>();
    private final ManualClock clock = ManualClock.startingAt(0);
    private final WakeUp wakeUp = new WakeUp(new Timers(), clock, () -> ran.add(clock.nowMs()));

    /** Lets time pass, a millisecond at once, with the timers that are due. */
    private void passTo(long untilMs) {
        while (clock.nowMs() < untilMs) {
            clock.advanceMs(1);
            List<Timer> due =
                    timers.stream().filter(t -> !t.gone && t.atMs <= clock.nowMs()).toList();
            due.forEach(Timer::fire);
        }
    }

    @Test
    void oneThatIsPutOffWithEachTokenSetsNoTimerForEach() {
        for (int i = 0; i < 50; i++) {
            passTo(i);
            wakeUp.at(i + 100);
        }
        assertEquals(1, timers.size());
        passTo(1000);
        assertEquals(List.of(149L), ran);
    }

    @Test
    void anEarlierOneComesFirstAndTheLaterOneNotAtAll() {
        wakeUp.at(100);
        wakeUp.at(40);
        passTo(1000);
        assertEquals(List.of(40L), ran);
    }

    @Test
    void noneComesAfterACancel() {
        wakeUp.at(100);
        passTo(50);
        wakeUp.cancel();
        passTo(1000);
        assertEquals(List.of(), ran);
        wakeUp.at(1100);
        passTo(2000);
        assertEquals(List.of(1100L), ran);
    }

    /** A paused process finds its timer long overdue; it is told at once, and once. */
    @Test
    void aPauseRunsItOnceAtItsEnd() {
        wakeUp.at(100);
        wakeUp.at(200);
        clock.advanceMs(5000);
        passTo(6000);
        assertEquals(List.of(5001L), ran);
    }

    /** One timer of the thread. */
    private static final class Timer {
        private final Runnable task;
        private final long atMs;
        private boolean gone;

        Timer(Runnable task, long atMs) {
            this.task = task;
            this.atMs = atMs;
        }

        void fire() {
            gone = true;
            task.run();
        }
    }

    /** A thread that only has timers. */
    private final class Timers implements RequestThread {
        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public Runnable executeAfter(Runnable task, long delayMs) {
            Timer timer = new Timer(task, clock.nowMs() + delayMs);
            timers.add(timer);
            return () -> timer.gone = true;
        }
    }
}
