package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Repeats a step on the control thread as long as there is something to wait for; thread-safe. */
final class GateTicker {
    private static final Logger LOG = LogManager.getLogger(GateTicker.class);

    private static final long TICK_MS = 5;

    private final ScheduledExecutorService control;
    private final Runnable step;
    private final BooleanSupplier again;
    private final AtomicBoolean scheduled = new AtomicBoolean();

    /**
     * Creates a ticker that does not tick yet.
     *
     * @param again whether another step is needed after one
     */
    GateTicker(ScheduledExecutorService control, Runnable step, BooleanSupplier again) {
        this.control = checkNotNull(control, "control");
        this.step = checkNotNull(step, "step");
        this.again = checkNotNull(again, "again");
    }

    /** Has the step run within a few milliseconds; cheap when it is due already. */
    void tickSoon() {
        if (scheduled.compareAndSet(false, true)) {
            control.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        // Cleared first: work that comes during the step gets a step of its own.
        scheduled.set(false);
        try {
            step.run();
        } catch (RuntimeException e) {
            // An executor drops the error, and what waits would wait for ever.
            LOG.error("limits: step failed", e);
        }
        if (again.getAsBoolean()) {
            tickSoon();
        }
    }
}
