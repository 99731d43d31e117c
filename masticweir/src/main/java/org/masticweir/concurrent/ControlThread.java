package org.masticweir.concurrent;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Gives steps to a router's control thread; those that come after it has stopped are dropped. */
public final class ControlThread {
    private static final Logger LOG = LogManager.getLogger(ControlThread.class);

    private ControlThread() {}

    /**
     * Runs {@code step} on {@code control}.
     *
     * @param area name of the part that asks, for the log
     */
    public static void execute(Executor control, Runnable step, String area) {
        try {
            control.execute(step);
        } catch (RejectedExecutionException e) {
            dropped(area);
        }
    }

    /** Runs {@code step} on {@code control} once {@code delayMs} have passed. */
    public static void executeAfter(
            ScheduledExecutorService control, Runnable step, long delayMs, String area) {
        try {
            control.schedule(step, delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            dropped(area);
        }
    }

    private static void dropped(String area) {
        LOG.debug("{}: a step came after the router had stopped", area);
    }
}
