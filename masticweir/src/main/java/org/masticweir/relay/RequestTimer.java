package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The only timer of a request: setting it replaces the previous one; runs on the traffic thread.
 */
final class RequestTimer implements AutoCloseable {
    private final XnioIoThread thread;
    private Optional<XnioExecutor.Key> key = Optional.empty();
    private int generation;

    RequestTimer(XnioIoThread thread) {
        this.thread = checkNotNull(thread, "thread");
    }

    /** Runs {@code task} after {@code ms}, unless the timer is set again or closed earlier. */
    void set(long ms, Runnable task) {
        close();
        int taskGeneration = generation;
        key =
                Optional.of(
                        thread.executeAfter(
                                () -> {
                                    if (taskGeneration == generation) {
                                        task.run();
                                    }
                                },
                                ms,
                                TimeUnit.MILLISECONDS));
    }

    /** Cancels the task; the timer may be set again. */
    @Override
    public void close() {
        generation++;
        key.ifPresent(XnioExecutor.Key::remove);
        key = Optional.empty();
    }
}
