package org.masticweir.recovery.copy;

/** The one thread that owns a request's state, with its timers; thread-safe. */
public interface RequestThread {
    void execute(Runnable task);

    /** Runs {@code task} once, after {@code delayMs}; the result cancels it. */
    Runnable executeAfter(Runnable task, long delayMs);
}
