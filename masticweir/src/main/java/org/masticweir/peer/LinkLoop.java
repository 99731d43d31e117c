package org.masticweir.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Comparator;
import java.util.Iterator;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.time.Clock;

/**
 * The one thread of all links: a selector, tasks from other threads and timers.
 *
 * <p>{@link #execute}, {@link #executeAfter} and {@link #stop} may be called from any thread, all
 * else from this thread.
 */
final class LinkLoop implements Runnable {
    private static final Logger LOG = LogManager.getLogger(LinkLoop.class);
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final long MAX_WAIT_MS = 1000;

    private final Clock clock;
    private final Selector selector;
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMs));
    private final AtomicBoolean woken = new AtomicBoolean();
    private volatile boolean stopped;

    LinkLoop(Clock clock) {
        this.clock = clock;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs {@code task} on this thread soon; many calls cost one wake-up. */
    void execute(Runnable task) {
        tasks.add(task);
        if (woken.compareAndSet(false, true)) {
            selector.wakeup();
        }
    }

    /** Runs {@code task} on this thread once {@code delayMs} have passed from now; any thread. */
    void executeAfter(Runnable task, long delayMs) {
        long atMs = nowMs() + delayMs;
        execute(() -> at(atMs, task));
    }

    void stop() {
        stopped = true;
        selector.wakeup();
    }

    void at(long atMs, Runnable task) {
        timers.add(new Timer(atMs, task));
    }

    long nowMs() {
        return clock.nowMs();
    }

    SelectionKey register(SelectableChannel channel, int ops, Ready onReady) throws IOException {
        return channel.register(selector, ops, onReady);
    }

    /** Returns the buffer that reads and writes share, cleared. */
    ByteBuffer scratch() {
        return scratch.clear();
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                turn();
            }
            runTasks();
        } catch (IOException e) {
            LOG.error("peer: selector failed", e);
        } finally {
            closeAll();
        }
    }

    private void turn() throws IOException {
        long waitMs = waitMs();
        if (waitMs > 0) {
            selector.select(waitMs);
        } else {
            selector.selectNow();
        }
        woken.set(false);
        runTimers();
        runReady();
        runTasks();
    }

    private long waitMs() {
        if (!tasks.isEmpty()) {
            return 0;
        }
        Timer first = timers.peek();
        return first == null ? MAX_WAIT_MS : Math.min(MAX_WAIT_MS, first.atMs - nowMs());
    }

    private void runReady() {
        Iterator<SelectionKey> it = selector.selectedKeys().iterator();
        while (it.hasNext()) {
            SelectionKey key = it.next();
            it.remove();
            if (key.isValid()) {
                guarded(() -> ((Ready) key.attachment()).ready(key));
            }
        }
    }

    private void runTimers() {
        long now = nowMs();
        while (!timers.isEmpty() && timers.peek().atMs <= now) {
            guarded(timers.remove().task);
        }
    }

    /** Runs the tasks that are there now; those they add wait for the next turn. */
    private void runTasks() {
        int n = tasks.size();
        for (int i = 0; i < n; i++) {
            guarded(tasks.remove());
        }
    }

    /**
     * Runs {@code task} and logs what it throws.
     *
     * <p>A fault in one link's or one handler's code shows as an exception here; caught, it does
     * not stop the thread that all other links live on.
     */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("peer: task failed", e);
        }
    }

    private void closeAll() {
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            LOG.warn("peer: close failed", e);
        }
    }

    /** Something that waits for its channel. */
    interface Ready {
        void ready(SelectionKey key);
    }

    private record Timer(long atMs, Runnable task) {}
}
