package org.masticweir.relay;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The single thread that owns the state of a router.
 *
 * <p>Prevents silent failures: the standard executor stores an unexpected error in a future that
 * nobody reads, and cancels a periodic task after an error. The router would go on with outdated
 * state and log nothing. This executor logs each error and keeps running periodic tasks.
 */
final class ControlExecutor extends ScheduledThreadPoolExecutor {
    private static final Logger LOG = LogManager.getLogger(ControlExecutor.class);

    ControlExecutor() {
        super(1, task -> new Thread(task, "control"));
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable task, long initialDelay, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(() -> run(task), initialDelay, delay, unit);
    }

    @Override
    protected void afterExecute(Runnable task, Throwable error) {
        super.afterExecute(task, error);
        if (error != null) {
            LOG.error("router: a task on the control thread failed", error);
        } else if (task instanceof Future<?> future && future.isDone() && !future.isCancelled()) {
            logFailure(future);
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("router: a periodic task on the control thread failed", e);
        }
    }

    private static void logFailure(Future<?> done) {
        try {
            done.get();
        } catch (ExecutionException e) {
            LOG.error("router: a task on the control thread failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
