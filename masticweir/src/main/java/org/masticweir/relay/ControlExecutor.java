package org.masticweir.relay;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The one thread that owns what a router believes.
 *
 * <p>Failure guarded against: a step fails on something that nobody thought of, and the executor
 * keeps the error for a result that nobody asks for, and never runs a periodic step again. The
 * router goes on with what it last knew and no line says so. Here each error is logged, and
 * periodic steps go on.
 */
final class ControlExecutor extends ScheduledThreadPoolExecutor {
    private static final Logger LOG = LogManager.getLogger(ControlExecutor.class);

    ControlExecutor() {
        super(1, step -> new Thread(step, "control"));
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable step, long initialDelay, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(() -> run(step), initialDelay, delay, unit);
    }

    @Override
    protected void afterExecute(Runnable step, Throwable error) {
        super.afterExecute(step, error);
        if (error != null) {
            LOG.error("router: a step of the control thread failed", error);
        } else if (step instanceof Future<?> future && future.isDone() && !future.isCancelled()) {
            logFailure(future);
        }
    }

    private static void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("router: a periodic step of the control thread failed", e);
        }
    }

    private static void logFailure(Future<?> done) {
        try {
            done.get();
        } catch (ExecutionException e) {
            LOG.error("router: a step of the control thread failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
