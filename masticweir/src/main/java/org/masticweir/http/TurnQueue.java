package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * Exchanges of one I/O thread that have more to read at once, and take turns; confined to that
 * thread.
 *
 * <p>The thread runs all tasks that are due before it looks at its sockets. Tasks that follow each
 * other at once would keep it from them, and so would many that each wait a little. Here one turn
 * follows the end of another by a pause, whatever the number of exchanges, so that sockets and
 * timers come between any two turns.
 */
final class TurnQueue {
    private static final long PAUSE_MS = 1;

    private static final ThreadLocal<TurnQueue> OF_THREAD = new ThreadLocal<>();

    private final XnioExecutor thread;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean isScheduled;

    TurnQueue(XnioExecutor thread) {
        this.thread = checkNotNull(thread, "thread");
    }

    /** Returns the queue of {@code thread}, which must be the calling thread. */
    static TurnQueue of(XnioExecutor thread) {
        TurnQueue queue = OF_THREAD.get();
        if (queue == null) {
            queue = new TurnQueue(thread);
            OF_THREAD.set(queue);
        }
        return queue;
    }

    /** Runs {@code turn} after the turns that wait already. */
    void add(Runnable turn) {
        waiting.add(turn);
        schedule();
    }

    private void schedule() {
        if (!isScheduled && !waiting.isEmpty()) {
            isScheduled = true;
            thread.executeAfter(this::runNext, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void runNext() {
        Runnable turn = waiting.remove();
        try {
            turn.run();
        } finally {
            isScheduled = false;
            schedule();
        }
    }
}
