package org.masticweir.recovery.copy;

import org.masticweir.time.Clock;

/** The one wake-up of a driver, of which a later call replaces the earlier; owned by its thread. */
final class WakeUp {
    private final RequestThread thread;
    private final Clock clock;
    private final Runnable task;
    private Runnable cancel = () -> {};

    WakeUp(RequestThread thread, Clock clock, Runnable task) {
        this.thread = thread;
        this.clock = clock;
        this.task = task;
    }

    void at(long atMs) {
        cancel.run();
        cancel = thread.executeAfter(task, Math.max(1, atMs - clock.nowMs()));
    }

    void cancel() {
        cancel.run();
        cancel = () -> {};
    }
}
