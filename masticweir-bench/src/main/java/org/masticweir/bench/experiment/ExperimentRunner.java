package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.bench.load.LoadMeasurement;
import org.masticweir.bench.load.LoadPlan;
import org.masticweir.bench.load.LoadRun;
import org.masticweir.bench.load.LoadShape;
import org.masticweir.bench.load.ObservedCall;
import org.masticweir.bench.report.FaultResult;
import org.masticweir.bench.report.LatencySummary;
import org.masticweir.bench.report.RunResult;
import org.masticweir.bench.standin.EngineLedger;
import org.masticweir.bench.standin.EngineProcess;
import org.masticweir.bench.standin.EngineRecorder;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.time.Clock;

/** Runs one load with faults on one setting; used by one thread. */
final class ExperimentRunner {
    private static final int DIGITS = 3;

    private final CallerClient caller;
    private final StandInControl control;
    private final Clock clock;
    private final ImmutableList<EngineProcess> engines;
    private final Optional<InetSocketAddress> proxy;

    ExperimentRunner(
            CallerClient caller,
            StandInControl control,
            Clock clock,
            List<EngineProcess> engines,
            Optional<InetSocketAddress> proxy) {
        this.caller = checkNotNull(caller, "caller");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.engines = ImmutableList.copyOf(engines);
        this.proxy = checkNotNull(proxy, "proxy");
    }

    /** Tells whether all routers of {@code setting} and all engines answer, after some wait. */
    boolean ready(Setting setting) {
        return setting.routers().stream().allMatch(control::awaitReady)
                && engines.stream().allMatch(e -> control.awaitHealthy(e.address()));
    }

    /** Runs the load and the faults to their end and returns what they did. */
    RunResult run(Setting setting, LoadShape shape, FaultSchedule schedule, long drainMs) {
        EngineRecorder recorder = EngineRecorder.start(control, engines);
        FaultTargets targets =
                new FaultTargets(control, recorder, engines, setting.platform(), proxy);
        LoadPlan plan = LoadPlan.draw(shape, "experiment-" + setting.name() + clock.wallMs());
        try (LoadRun load = LoadRun.start(caller, clock, setting.routers(), plan);
                FaultInjector faults =
                        FaultInjector.start(schedule, targets, clock, load.startedAtMs())) {
            ImmutableList<ObservedCall> calls = load.await(drainMs);
            return result(
                    setting,
                    shape,
                    load.startedAtMs(),
                    calls,
                    faults.injected(),
                    recorder.finish());
        }
    }

    private static RunResult result(
            Setting setting,
            LoadShape shape,
            long startedAtMs,
            ImmutableList<ObservedCall> calls,
            ImmutableList<InjectedFault> faults,
            EngineLedger ledger) {
        ImmutableList<ImmutableList<Placement>> stays =
                calls.stream()
                        .map(c -> Placement.of(c, ledger))
                        .collect(ImmutableList.toImmutableList());
        List<Placement> all = stays.stream().flatMap(List::stream).toList();
        List<FaultEffect> effects = faults.stream().map(f -> FaultEffect.of(f, all)).toList();
        return new RunResult(
                setting.name(),
                LoadMeasurement.measure(shape, calls, startedAtMs, ledger),
                effects.stream().map(ExperimentRunner::faultResult).toList(),
                summary(
                        effects.stream()
                                .filter(e -> !e.fault().fault().kind().strikesAll())
                                .flatMap(e -> e.resumeMs().stream())
                                .toList()),
                RecoveryCost.extraWork(calls, ledger),
                RecoveryCost.sends(calls, ledger),
                RecoveryCost.moves(stays),
                RecoveryCost.falseMoves(stays, faults));
    }

    private static FaultResult faultResult(FaultEffect effect) {
        Fault fault = effect.fault().fault();
        return new FaultResult(
                fault.atMs(),
                fault.kind().name(),
                fault.target(),
                effect.fault().taken(),
                effect.affected(),
                effect.unresumed(),
                summary(effect.resumeMs()));
    }

    private static LatencySummary summary(List<Long> valuesMs) {
        Histogram histogram = new Histogram(DIGITS);
        valuesMs.forEach(histogram::recordValue);
        return LatencySummary.of(histogram);
    }
}
