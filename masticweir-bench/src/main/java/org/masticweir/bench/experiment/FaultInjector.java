package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.masticweir.time.Clock;

/** Plays a schedule of faults on threads of its own, so that none delays another. */
final class FaultInjector implements AutoCloseable {
    private static final int THREADS = 4;

    private final FaultTargets targets;
    private final Clock clock;
    private final ScheduledExecutorService timers =
            Executors.newScheduledThreadPool(
                    THREADS,
                    new ThreadFactoryBuilder().setNameFormat("faults-%d").setDaemon(true).build());
    private final List<InjectedFault> injected = new CopyOnWriteArrayList<>();

    private FaultInjector(FaultTargets targets, Clock clock) {
        this.targets = checkNotNull(targets, "targets");
        this.clock = checkNotNull(clock, "clock");
    }

    /** Schedules the faults of a load that starts at {@code startMs}. */
    static FaultInjector start(
            FaultSchedule schedule, FaultTargets targets, Clock clock, long startMs) {
        FaultInjector injector = new FaultInjector(targets, clock);
        schedule.faults().forEach(fault -> injector.plan(fault, startMs));
        return injector;
    }

    private void plan(Fault fault, long startMs) {
        long inMs = startMs + fault.atMs() - clock.nowMs();
        timers.schedule(() -> inject(fault), inMs, MILLISECONDS);
        if (fault.forMs() > 0) {
            timers.schedule(
                    () -> fault.kind().lift(targets, fault), inMs + fault.forMs(), MILLISECONDS);
        }
    }

    /**
     * Notes a fault as it begins.
     *
     * <p>The time is taken before the call, since a paused stand-in may answer it late.
     */
    private void inject(Fault fault) {
        long now = clock.nowMs();
        injected.add(new InjectedFault(fault, now, taken(fault)));
    }

    private boolean taken(Fault fault) {
        try {
            return fault.kind().inject(targets, fault);
        } catch (UncheckedIOException e) {
            System.err.println("fault " + fault + " failed: " + e.getMessage());
            return false;
        }
    }

    /** Returns the faults that struck so far. */
    ImmutableList<InjectedFault> injected() {
        return ImmutableList.copyOf(injected);
    }

    @Override
    public void close() {
        timers.shutdownNow();
    }
}
