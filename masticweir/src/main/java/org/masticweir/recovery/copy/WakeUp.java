package org.masticweir.recovery.copy;

import org.masticweir.time.Clock;

/**
 * The one wake-up of a driver, of which a later call replaces the earlier; owned by its thread.
 *
 * <p>A wake-up that is put off leaves the thread's timer as it is, and the timer is set anew when
 * it fires too early. An append puts its bound off with each token; a timer set for each would cost
 * the thread's ordered set two changes a token.
 */
final class WakeUp {
    private static final long NEVER = Long.MAX_VALUE;

    private final RequestThread thread;
    private final Clock clock;
    private final Runnable task;
    private Runnable cancelTimer = () -> {};
    private long wantedAtMs = NEVER;
    private long timerAtMs = NEVER;

    WakeUp(RequestThread thread, Clock clock, Runnable task) {
        this.thread = thread;
        this.clock = clock;
        this.task = task;
    }

    void at(long atMs) {
        wantedAtMs = atMs;
        if (atMs < timerAtMs) {
            setTimer();
        }
    }

    void cancel() {
        cancelTimer.run();
        cancelTimer = () -> {};
        wantedAtMs = NEVER;
        timerAtMs = NEVER;
    }

    private void setTimer() {
        cancelTimer.run();
        timerAtMs = wantedAtMs;
        cancelTimer = thread.executeAfter(this::fired, Math.max(1, wantedAtMs - clock.nowMs()));
    }

    private void fired() {
        timerAtMs = NEVER;
        if (wantedAtMs > clock.nowMs()) {
            setTimer();
            return;
        }
        wantedAtMs = NEVER;
        task.run();
    }
}
