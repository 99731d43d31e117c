package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.time.Clock;

/** Plays one plan on a fleet of its own and returns the records; used by one thread. */
final class FaultRunner implements AutoCloseable {
    private static final long STEPS_BOUND_MS = 90_000;
    private static final long CALLS_BOUND_MS = 3 * FaultCaller.BOUND_MS;
    private static final long LEFT_BOUND_MS = 15_000;
    private static final long CONFIG_BOUND_MS = ConfigurationCheck.IN_FORCE_BOUND_MS;
    private static final long LOOK_AGAIN_MS = 1_500;
    private static final long POLL_MS = 50;
    private static final Clock CLOCK = Clock.system();

    private final FaultPlan plan;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final FaultFleet fleet;
    private final StandInRuns runs;
    private final FaultSteps steps;
    private final Queue<CallTrace> traces = new ConcurrentLinkedQueue<>();

    private FaultRunner(FaultPlan plan) {
        this.plan = checkNotNull(plan, "plan");
        fleet = FaultFleet.start(plan.seed());
        runs = new StandInRuns(fleet);
        steps = new FaultSteps(fleet, runs);
    }

    /** Plays {@code plan} and returns what was recorded. */
    static FaultRun play(FaultPlan plan) {
        try (FaultRunner runner = new FaultRunner(plan)) {
            return runner.run();
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
        fleet.close();
    }

    private FaultRun run() {
        ImmutableList<RevisionLog.Seen> revisions;
        try (RevisionLog log = RevisionLog.start(fleet, threads)) {
            CompletableFuture<?> calls = startCalls();
            Await.get("steps of seed " + plan.seed(), startSteps(), STEPS_BOUND_MS);
            fleet.proxy().passAll();
            Await.get("calls of seed " + plan.seed(), calls, CALLS_BOUND_MS);
            awaitLatestRevision();
            revisions = log.seen();
        }
        ImmutableList<StandInRuns.Run> atEnd = runs.all();
        Await.elapse(LOOK_AGAIN_MS);
        return new FaultRun(
                plan,
                ImmutableList.copyOf(traces),
                atEnd,
                runs.all(),
                revisions,
                steps.changes(),
                fleet.acceptedChanges(),
                steps.struck(),
                steps.leavings(),
                steps.drained(),
                CLOCK.nowMs());
    }

    /** Waits for the latest change to be in force everywhere; the check tells if it is not. */
    private void awaitLatestRevision() {
        long latest = fleet.acceptedChanges().values().stream().max(Long::compare).orElse(1L);
        long dueMs = CLOCK.nowMs() + CONFIG_BOUND_MS;
        while (CLOCK.nowMs() < dueMs
                && fleet.routers().stream()
                        .anyMatch(r -> fleet.operators(r).revision() != latest)) {
            Await.elapse(POLL_MS);
        }
        Await.elapse(2 * POLL_MS);
    }

    private CompletableFuture<?> startSteps() {
        Map<FaultStep, CompletableFuture<Void>> ends = new LinkedHashMap<>();
        for (FaultStep step : plan.steps()) {
            // What an earlier step struck may take longer to come back than the plan allows for.
            CompletableFuture<?> free =
                    allOf(ends.keySet().stream().filter(step::strikesLike).map(ends::get).toList());
            ends.put(
                    step,
                    CompletableFuture.runAsync(() -> {}, after(step.atMs()))
                            .thenCombine(free, (due, ended) -> due)
                            .thenRunAsync(() -> steps.begin(step), threads)
                            .thenRunAsync(() -> steps.end(step), after(step.forMs())));
        }
        return allOf(ends.values());
    }

    private CompletableFuture<?> startCalls() {
        List<CompletableFuture<?>> all = new ArrayList<>();
        for (int i = 0; i < plan.calls().size(); i++) {
            FaultPlan.PlannedCall call = plan.calls().get(i);
            CallRequest request = RequestsOfPlan.of(plan.seed(), i, call);
            all.add(start(call, request, call.router()));
            if (call.twin() >= 0) {
                all.add(start(call, request, call.twin()));
            }
        }
        return allOf(all);
    }

    private CompletableFuture<?> start(
            FaultPlan.PlannedCall call, CallRequest request, int router) {
        return CompletableFuture.runAsync(
                () -> traces.add(trace(call, request, router)), after(call.atMs()));
    }

    private CallTrace trace(FaultPlan.PlannedCall call, CallRequest request, int router) {
        boolean sole = call.twin() < 0;
        if (call.work() == FaultPlan.Work.SERVICE) {
            return new ServiceFaultCaller(fleet, request, router, sole).run();
        }
        FaultCaller caller = new FaultCaller(fleet, call.work(), request, router, sole);
        boolean ended = caller.run();
        long endedAtMs = CLOCK.nowMs();
        caller.awaitAllEnded(LEFT_BOUND_MS);
        return caller.trace(ended, endedAtMs);
    }

    private Executor after(long ms) {
        return CompletableFuture.delayedExecutor(ms, MILLISECONDS, threads);
    }

    private static CompletableFuture<?> allOf(Collection<? extends CompletableFuture<?>> all) {
        return CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]));
    }
}
