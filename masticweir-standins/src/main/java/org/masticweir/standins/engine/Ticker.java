package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.masticweir.time.Clock;

/**
 * The one thread that computes: it runs an engine's steps, each at its time.
 *
 * <p>Thread-safe.
 */
final class Ticker implements AutoCloseable {
    private static final long IDLE_CHECK_MS = 100;
    private static final long PAUSE_CHECK_MS = 10;
    private static final long US_PER_MS = 1000;

    /** Most time made up for after a late wake-up; a longer delay slows the engine for good. */
    private static final long MAX_CATCH_UP_US = 20_000;

    private final Clock clock;
    private final Faults faults;
    private final Semaphore work = new Semaphore(0);
    private final CountDownLatch closed = new CountDownLatch(1);
    private long dueUs;

    private Ticker(Clock clock, Faults faults) {
        this.clock = checkNotNull(clock, "clock");
        this.faults = checkNotNull(faults, "faults");
    }

    static Ticker of(Clock clock, Faults faults) {
        return new Ticker(clock, faults);
    }

    /** Starts the thread that advances {@code engine}. */
    void start(Engine engine) {
        checkNotNull(engine, "engine");
        Thread thread = new Thread(() -> run(engine), "engine-ticker");
        thread.setDaemon(true);
        thread.start();
    }

    /** Says that there is work; never blocks. */
    void workArrived() {
        work.release();
    }

    private void run(Engine engine) {
        try {
            while (closed.getCount() > 0) {
                tick(engine);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tick(Engine engine) throws InterruptedException {
        waitOutPause(engine);
        work.drainPermits();
        Optional<Batch.Step> step = engine.beginStep();
        if (step.isEmpty()) {
            work.tryAcquire(IDLE_CHECK_MS, TimeUnit.MILLISECONDS);
            dueUs = nowUs();
            return;
        }
        long earliest = nowUs() - MAX_CATCH_UP_US;
        long us = Math.round(step.get().durationUs() * faults.slowFactor());
        dueUs = Math.max(dueUs, earliest) + us;
        waitUntilDue();
        while (closed.getCount() > 0 && !engine.finishStep(step.get())) {
            waitOutPause(engine);
        }
    }

    private void waitUntilDue() throws InterruptedException {
        long us = dueUs - nowUs();
        if (us > 0) {
            closed.await(us, TimeUnit.MICROSECONDS);
        }
    }

    private void waitOutPause(Engine engine) throws InterruptedException {
        if (!faults.pause().active()) {
            return;
        }
        while (faults.pause().active() && closed.getCount() > 0) {
            closed.await(PAUSE_CHECK_MS, TimeUnit.MILLISECONDS);
        }
        dueUs = nowUs();
        engine.wakeReaders();
    }

    private long nowUs() {
        return clock.nowMs() * US_PER_MS;
    }

    @Override
    public void close() {
        closed.countDown();
        work.release();
    }
}
