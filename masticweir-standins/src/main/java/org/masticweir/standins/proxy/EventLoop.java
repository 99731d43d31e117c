package org.masticweir.standins.proxy;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.time.Clock;

/**
 * One thread that runs all of the proxy's I/O, timers and changes.
 *
 * <p>Only {@link #submit} and {@link #close} may be called from other threads.
 */
final class EventLoop implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EventLoop.class);

    private final Clock clock;
    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueMs));
    private volatile boolean closing;

    private EventLoop(Clock clock, Selector selector) {
        this.clock = clock;
        this.selector = selector;
        thread = new Thread(this::run, "proxy-loop");
    }

    static EventLoop start(Clock clock) {
        try {
            EventLoop loop = new EventLoop(clock, Selector.open());
            loop.thread.start();
            return loop;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a selector", e);
        }
    }

    /** Runs a task on the loop; its result is there once channels that it closed are closed. */
    <T> CompletableFuture<T> submit(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        tasks.add(() -> runTask(task, result));
        selector.wakeup();
        return result;
    }

    /** Ends the loop and closes its channels; submitted tasks that have not begun never end. */
    @Override
    public void close() {
        closing = true;
        selector.wakeup();
        Uninterruptibles.joinUninterruptibly(thread);
    }

    /** Registers a channel without interest; {@code onReady} runs when it is ready for some. */
    SelectionKey register(SelectableChannel channel, Runnable onReady) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, 0, onReady);
    }

    /** Runs a task on the loop once the time has come, at the earliest after the next select. */
    void at(long dueMs, Runnable task) {
        timers.add(new Timer(dueMs, task));
    }

    long nowMs() {
        return clock.nowMs();
    }

    private void run() {
        try (selector) {
            while (!closing) {
                select();
                runReadyKeys();
                runDueTimers();
                runTasks();
            }
            closeChannels();
        } catch (IOException e) {
            LOG.error("proxy: selector failed", e);
        }
    }

    private void select() throws IOException {
        if (timers.isEmpty()) {
            selector.select();
            return;
        }
        long waitMs = timers.peek().dueMs() - nowMs();
        if (waitMs > 0) {
            selector.select(waitMs);
        } else {
            selector.selectNow();
        }
    }

    private void runReadyKeys() {
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                guard((Runnable) key.attachment());
            }
        }
        selector.selectedKeys().clear();
    }

    private void runDueTimers() {
        long nowMs = nowMs();
        while (!timers.isEmpty() && timers.peek().dueMs() <= nowMs) {
            guard(timers.remove().task());
        }
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    /**
     * A channel closed on the loop is let go by the operating system only at the next select, so a
     * result given at once could be read while a connection that was cut still stands. Timers run
     * after a select, so the result waits for one.
     */
    private <T> void runTask(Supplier<T> task, CompletableFuture<T> result) {
        try {
            T value = task.get();
            at(nowMs(), () -> result.complete(value));
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    /** Runs a callback; one connection's defect must not end the loop for all the others. */
    private static void guard(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException e) {
            LOG.error("proxy: callback failed", e);
        }
    }

    private void closeChannels() {
        for (SelectionKey key : selector.keys()) {
            try {
                key.channel().close();
            } catch (IOException e) {
                LOG.debug("proxy: close failed", e);
            }
        }
    }

    private record Timer(long dueMs, Runnable task) {}
}
