package org.masticweir.time;

import com.google.common.util.concurrent.Futures;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** An executor whose tasks run in the order of their time, on a clock that only it moves. */
public final class ManualScheduler extends AbstractExecutorService
        implements ScheduledExecutorService {
    private final ManualClock clock = ManualClock.startingAt(0);
    private final Queue<Task<?>> tasks =
            new PriorityQueue<>(
                    Comparator.<Task<?>>comparingLong(t -> t.atMs).thenComparing(t -> t.number));
    private long lastNumber;

    public ManualClock clock() {
        return clock;
    }

    /** Runs all that is due up to {@code ms}, and moves the clock there. */
    public void runTo(long ms) {
        while (!tasks.isEmpty() && tasks.peek().atMs <= ms) {
            Task<?> next = tasks.remove();
            clock.advanceMs(Math.max(0, next.atMs - clock.nowMs()));
            next.run();
            if (!next.isCancelled()) {
                // A failure of the code under test must not stay in a future that nobody reads.
                Futures.getUnchecked(next);
            }
        }
        clock.advanceMs(ms - clock.nowMs());
    }

    public void at(long ms, Runnable task) {
        schedule(task, ms - clock.nowMs(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void execute(Runnable task) {
        schedule(task, 0, TimeUnit.MILLISECONDS);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    task.run();
                    return null;
                },
                delay,
                unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
        Task<V> t = new Task<>(task, clock.nowMs() + unit.toMillis(delay));
        tasks.add(t);
        return t;
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable r, long i, long p, TimeUnit u) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable r, long i, long d, TimeUnit u) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdown() {}

    @Override
    public List<Runnable> shutdownNow() {
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    /** One task and its time. */
    private final class Task<V> extends FutureTask<V> implements ScheduledFuture<V> {
        private final long atMs;
        private final long number = ++lastNumber;

        private Task(Callable<V> task, long atMs) {
            super(task);
            this.atMs = Math.max(atMs, clock.nowMs());
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(atMs - clock.nowMs(), TimeUnit.MILLISECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(
                    getDelay(TimeUnit.MILLISECONDS), other.getDelay(TimeUnit.MILLISECONDS));
        }
    }
}
