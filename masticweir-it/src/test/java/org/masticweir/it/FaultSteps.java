package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticweir.it.FaultRun.Drained;
import org.masticweir.it.FaultRun.Leaving;
import org.masticweir.it.FaultRun.ProposedChange;
import org.masticweir.it.FaultRun.Struck;
import org.masticweir.time.Clock;

/**
 * Carries out the steps of a plan on a fleet and records what was done.
 *
 * <p>Thread-safe for steps that strike different things; it blocks.
 */
final class FaultSteps {
    /** A few seconds, after which a leaving engine gets no new work. */
    static final long LEAVE_BOUND_MS = 4_000;

    private static final long DRAIN_BOUND_MS = 20_000;
    private static final int FIRST_TARGET_MS = 401;
    private static final ImmutableList<String> MODES =
            ImmutableList.of("stall", "stall_up", "stall_down", "cut", "reset");
    private static final Clock CLOCK = Clock.system();

    private final FaultFleet fleet;
    private final StandInRuns runs;
    private final Map<FaultStep, Long> begunAtMs = new ConcurrentHashMap<>();
    private final Map<FaultStep, CompletableFuture<ImmutableSet<StandInRuns.Run>>> leftRuns =
            new ConcurrentHashMap<>();
    private final List<ProposedChange> changes = new CopyOnWriteArrayList<>();
    private final List<Struck> struck = new CopyOnWriteArrayList<>();
    private final List<Leaving> leavings = new CopyOnWriteArrayList<>();
    private final List<Drained> drained = new CopyOnWriteArrayList<>();
    private final AtomicInteger lastTargetMs = new AtomicInteger(FIRST_TARGET_MS);

    private String domainsMode = "pass";

    FaultSteps(FaultFleet fleet, StandInRuns runs) {
        this.fleet = checkNotNull(fleet, "fleet");
        this.runs = checkNotNull(runs, "runs");
    }

    ImmutableList<ProposedChange> changes() {
        return ImmutableList.copyOf(changes);
    }

    ImmutableList<Struck> struck() {
        return ImmutableList.copyOf(struck);
    }

    ImmutableList<Leaving> leavings() {
        return ImmutableList.copyOf(leavings);
    }

    ImmutableList<Drained> drained() {
        return ImmutableList.copyOf(drained);
    }

    void begin(FaultStep step) {
        begunAtMs.put(step, CLOCK.nowMs());
        switch (step.kind()) {
            case KILL_ENGINE -> runs.kill(engine(step));
            case PAUSE_ENGINE -> engine(step).process().pause();
            case CUT_ENGINE_LINK -> cut(engine(step).id(), step);
            case ENGINE_LEAVES -> leave(step);
            case KILL_ROUTER -> router(step).kill();
            case PAUSE_ROUTER -> router(step).pause();
            case DRAIN_ROUTER -> fleet.drain(router(step));
            case CUT_PEER_LINK -> cut(FaultFleet.peerRoute(router(step)), step);
            case CUT_DOMAIN_FROM_PLATFORM -> cutFromPlatform(step);
            case CUT_DOMAIN_FROM_OTHER -> cutDomains(step);
            case CUT_DOMAIN_OFF -> {
                cutFromPlatform(step);
                cutDomains(step);
            }
            case PLATFORM_OUT -> fleet.platformFault("{\"outage_ms\":" + step.forMs() + "}");
            case PLATFORM_SLOW -> fleet.platformFault("{\"slow_ms\":" + 300 * step.other() + "}");
            case PLATFORM_LOSES_ANSWERS -> fleet.platformFault("{\"lose_answers\":4}");
            case SERVICE_LOSES_ANSWERS ->
                    fleet.fault(service(step).address(), "{\"lose_answers\":2}");
            case PAUSE_SERVICE ->
                    fleet.fault(service(step).address(), "{\"pause_ms\":" + step.forMs() + "}");
            case RACE_OF_OPERATORS -> race(step);
            default -> throw new IllegalStateException("unknown kind " + step.kind());
        }
    }

    void end(FaultStep step) {
        switch (step.kind()) {
            case KILL_ENGINE -> engine(step).restartIfDead();
            case PAUSE_ENGINE -> engine(step).process().resume();
            case CUT_ENGINE_LINK -> fleet.proxy().set(engine(step).id(), "pass");
            case ENGINE_LEAVES -> comeBack(step);
            case KILL_ROUTER, PAUSE_ROUTER -> heal(step);
            case DRAIN_ROUTER -> replaceDrained(step);
            case CUT_PEER_LINK -> {
                fleet.proxy().set(FaultFleet.peerRoute(router(step)), "pass");
                struck.add(new Struck(router(step).id(), begunAtMs.get(step), CLOCK.nowMs()));
            }
            case CUT_DOMAIN_FROM_PLATFORM -> healPlatform(step);
            case CUT_DOMAIN_FROM_OTHER -> healDomains();
            case CUT_DOMAIN_OFF -> {
                healPlatform(step);
                healDomains();
                fleet.routersOf(step.target())
                        .forEach(
                                r ->
                                        struck.add(
                                                new Struck(
                                                        r.id(),
                                                        begunAtMs.get(step),
                                                        CLOCK.nowMs())));
            }
            case PLATFORM_SLOW -> fleet.platformFault("{\"slow_ms\":0}");
            case PLATFORM_LOSES_ANSWERS -> fleet.platformFault("{\"lose_answers\":0}");
            case SERVICE_LOSES_ANSWERS ->
                    fleet.fault(service(step).address(), "{\"lose_answers\":0}");
            case PLATFORM_OUT, PAUSE_SERVICE, RACE_OF_OPERATORS -> {
                // They end by themselves.
            }
            default -> throw new IllegalStateException("unknown kind " + step.kind());
        }
    }

    private BackEndProcess engine(FaultStep step) {
        return fleet.engines().get(step.target());
    }

    private BackEndProcess service(FaultStep step) {
        return fleet.services().get(step.target());
    }

    private FleetRouter router(FaultStep step) {
        return fleet.routers().get(step.target());
    }

    private void cut(String route, FaultStep step) {
        String mode = MODES.get(step.other());
        if (mode.equals("reset")) {
            fleet.proxy().reset(route);
        } else {
            fleet.proxy().set(route, mode);
        }
    }

    private void cutFromPlatform(FaultStep step) {
        String mode = step.other() % 2 == 0 ? "cut" : "stall";
        fleet.routersOf(step.target())
                .forEach(r -> fleet.proxy().set(FaultFleet.platformRoute(r), mode));
    }

    private void healPlatform(FaultStep step) {
        fleet.routersOf(step.target())
                .forEach(r -> fleet.proxy().set(FaultFleet.platformRoute(r), "pass"));
    }

    private synchronized void cutDomains(FaultStep step) {
        domainsMode = step.other() % 2 == 0 ? "stall" : "cut";
        fleet.cutDomains(domainsMode);
    }

    private synchronized void healDomains() {
        domainsMode = "pass";
        fleet.cutDomains(domainsMode);
    }

    /** Has a cut between the domains hold for a router that is a new process now. */
    private synchronized void cutDomainsAgain() {
        if (!domainsMode.equals("pass")) {
            fleet.cutDomains(domainsMode);
        }
    }

    private void heal(FaultStep step) {
        router(step).heal();
        cutDomainsAgain();
        fleet.heal(router(step));
        struck.add(new Struck(router(step).id(), begunAtMs.get(step), CLOCK.nowMs()));
    }

    /**
     * Has an engine leave, and notes its runs once it must get no more.
     *
     * <p>It says so itself as well, since a domain that is cut off from the platform sees no list.
     */
    private void leave(FaultStep step) {
        fleet.leaveByItsOwnWord(engine(step));
        Executor later = CompletableFuture.delayedExecutor(LEAVE_BOUND_MS, MILLISECONDS);
        leftRuns.put(
                step,
                CompletableFuture.supplyAsync(
                        () -> ImmutableSet.copyOf(runs.read(engine(step))), later));
        fleet.announce(engine(step), "leaving");
    }

    /** Replaces the engine that left, as one that left does not come back by itself. */
    private void comeBack(FaultStep step) {
        BackEndProcess engine = engine(step);
        ImmutableSet<StandInRuns.Run> afterSeconds = leftRuns.get(step).join();
        ImmutableSet<StandInRuns.Run> atEnd = ImmutableSet.copyOf(runs.read(engine));
        leavings.add(new Leaving(engine.id(), afterSeconds, atEnd));
        runs.kill(engine);
        engine.restartIfDead();
        fleet.announce(engine, "live");
    }

    private void replaceDrained(FaultStep step) {
        FleetRouter router = router(step);
        long dueMs = CLOCK.nowMs() + DRAIN_BOUND_MS;
        while (router.runs() && CLOCK.nowMs() < dueMs) {
            Await.elapse(50);
        }
        String left = router.runs() ? fleet.requestsAt(router) : "";
        drained.add(new Drained(router.id(), begunAtMs.get(step), CLOCK.nowMs(), left));
        if (!left.isEmpty()) {
            router.kill();
        }
        heal(step);
    }

    /** Two operators propose different documents on one base through two routers at once. */
    private void race(FaultStep step) {
        FleetRouter one = fleet.routers().get(step.other() % FaultPlan.ROUTERS);
        FleetRouter two = fleet.routers().get((step.other() + 2) % FaultPlan.ROUTERS);
        long base = Math.max(fleet.operators(one).revision(), fleet.operators(two).revision());
        CompletableFuture.allOf(propose(one, base), propose(two, base)).join();
    }

    private CompletableFuture<Void> propose(FleetRouter router, long base) {
        int targetMs = lastTargetMs.getAndIncrement();
        String id = "change-" + targetMs + "-" + router;
        OperatorPort.Change change =
                new OperatorPort.Change(base, id, FaultFleet.document(targetMs));
        return fleet.operators(router)
                .propose(change)
                .thenAccept(
                        a ->
                                changes.add(
                                        new ProposedChange(
                                                id,
                                                base,
                                                a.outcome(),
                                                a.code(),
                                                a.revision(),
                                                CLOCK.nowMs())));
    }
}
