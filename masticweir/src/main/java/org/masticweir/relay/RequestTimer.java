package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.masticweir.time.Clock;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** A timer of one request: setting it replaces the previous task; runs on the traffic thread. */
final class RequestTimer implements AutoCloseable {
    private final XnioIoThread thread;
    private final Clock clock;
    private Optional<XnioExecutor.Key> key = Optional.empty();
    private OptionalLong delayMs = OptionalLong.empty();
    private int generation;

    RequestTimer(XnioIoThread thread, Clock clock) {
        this.thread = checkNotNull(thread, "thread");
        this.clock = checkNotNull(clock, "clock");
    }

    /** Runs {@code task} after {@code ms}, unless the timer is set again or closed earlier. */
    void set(long ms, Runnable task) {
        close();
        int taskGeneration = generation;
        long dueMs = clock.nowMs() + ms;
        key =
                Optional.of(
                        thread.executeAfter(
                                () -> {
                                    if (taskGeneration == generation) {
                                        run(task, dueMs);
                                    }
                                },
                                ms,
                                TimeUnit.MILLISECONDS));
    }

    private void run(Runnable task, long dueMs) {
        delayMs = OptionalLong.of(Math.max(0, clock.nowMs() - dueMs));
        try {
            task.run();
        } finally {
            delayMs = OptionalLong.empty();
        }
    }

    /** Returns how late the task is that is running now, in ms; empty if none is running. */
    OptionalLong delayMs() {
        return delayMs;
    }

    /** Cancels the task; the timer may be set again. */
    @Override
    public void close() {
        generation++;
        key.ifPresent(XnioExecutor.Key::remove);
        key = Optional.empty();
    }
}
