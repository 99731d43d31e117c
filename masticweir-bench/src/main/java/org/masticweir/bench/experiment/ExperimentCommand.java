package org.masticweir.bench.experiment;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticweir.bench.BenchCommand;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.bench.demo.NoSplitter;
import org.masticweir.bench.load.LoadFlags;
import org.masticweir.bench.report.ExperimentResult;
import org.masticweir.bench.report.HtmlReport;
import org.masticweir.bench.report.ResultJson;
import org.masticweir.bench.report.RunResult;
import org.masticweir.bench.standin.EngineProcess;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.IpAddress;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/** Runs a load with faults on one or two sets of routers, in turn, and compares them. */
@Parameters(commandDescription = "load with faults, on two settings in turn")
public final class ExperimentCommand implements BenchCommand {
    private static final int IO_THREADS = 2;
    private static final long MS_PER_S = 1000;

    @ParametersDelegate private final LoadFlags load = new LoadFlags();

    @Parameter(names = "--routers-a", required = true, description = "callers' addresses of set A")
    private List<String> routersA = new ArrayList<>();

    @Parameter(names = "--routers-b", description = "callers' addresses of set B")
    private List<String> routersB = new ArrayList<>();

    @Parameter(names = "--platform-a", description = "address of set A's platform stand-in")
    private String platformA = "";

    @Parameter(names = "--platform-b", description = "address of set B's platform stand-in")
    private String platformB = "";

    @Parameter(names = "--proxy", description = "control address of a proxy stand-in")
    private String proxy = "";

    @Parameter(
            names = "--engine",
            required = true,
            splitter = NoSplitter.class,
            description = "id,domain,group,ip:port,pid of an engine stand-in; may be repeated")
    private List<String> engines = new ArrayList<>();

    @Parameter(
            names = "--fault",
            splitter = NoSplitter.class,
            description =
                    "at_ms,kind,target[,for_ms[,factor]]; kinds: kill pause slow refuse cut stall"
                            + " outage; may be repeated")
    private List<String> faults = new ArrayList<>();

    @Parameter(names = "--faults", description = "JSON file with more faults")
    private String faultFile = "";

    @Parameter(names = "--random-faults", description = "faults drawn from the seed, beside others")
    private int randomFaults;

    @Parameter(names = "--fault-seed", description = "of the drawn faults; a fresh one is printed")
    private long faultSeed = System.nanoTime();

    @Parameter(names = "--runs", description = "runs of each set")
    private int runs = 3;

    @Parameter(names = "--settle-s", description = "wait between runs")
    private long settleS = 3;

    @Parameter(names = "--out", description = "directory of the result")
    private String out = "target/bench";

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public int run() {
        ImmutableList<EngineProcess> processes =
                engines.stream().map(EngineProcess::parse).collect(ImmutableList.toImmutableList());
        FaultSchedule schedule = schedule(processes);
        XnioWorker worker = BenchWorker.start(IO_THREADS);
        try (HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults())) {
            ExperimentRunner runner =
                    new ExperimentRunner(
                            CallerClient.on(worker, Clock.system()),
                            StandInControl.over(calls),
                            Clock.system(),
                            processes,
                            address(proxy));
            return runWith(runner, schedule);
        } finally {
            worker.shutdownNow();
        }
    }

    private int runWith(ExperimentRunner runner, FaultSchedule schedule) {
        List<RunResult> results = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            for (Setting setting : settings()) {
                if (!runner.ready(setting)) {
                    System.err.println(
                            "a router of set " + setting.name() + " or an engine is down");
                    return 1;
                }
                settle();
                results.add(
                        runner.run(
                                setting, load.shape().withSeedPlus(i), schedule, load.drainMs()));
            }
        }
        return finish(ExperimentResult.of(results));
    }

    private ImmutableList<Setting> settings() {
        ImmutableList.Builder<Setting> settings = ImmutableList.builder();
        settings.add(setting("A", routersA, platformA));
        if (!routersB.isEmpty()) {
            settings.add(setting("B", routersB, platformB));
        }
        return settings.build();
    }

    private static Setting setting(String name, List<String> routers, String platform) {
        return new Setting(
                name,
                routers.stream().map(IpAddress::parse).collect(ImmutableList.toImmutableList()),
                address(platform));
    }

    private FaultSchedule schedule(ImmutableList<EngineProcess> processes) {
        try {
            FaultSchedule flags = FaultSchedule.parse(faults);
            FaultSchedule all = flags.plus(drawn(processes));
            if (!faultFile.isEmpty()) {
                all = all.plus(FaultSchedule.read(Path.of(faultFile)));
            }
            all.checkEngines(
                    processes.stream()
                            .map(EngineProcess::id)
                            .collect(ImmutableSet.toImmutableSet()));
            return all;
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }

    private FaultSchedule drawn(ImmutableList<EngineProcess> processes) {
        List<String> ids = processes.stream().map(EngineProcess::id).toList();
        RandomFaults random =
                new RandomFaults(faultSeed, ids, !proxy.isEmpty(), !platformA.isEmpty());
        FaultSchedule schedule =
                random.draw(randomFaults, Math.round(load.shape().seconds() * MS_PER_S));
        if (randomFaults > 0) {
            System.out.println("fault seed " + faultSeed + ": " + schedule.faults());
        }
        return schedule;
    }

    private static Optional<InetSocketAddress> address(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(IpAddress.parse(text));
    }

    private void settle() {
        CompletableFuture.runAsync(
                        () -> {},
                        CompletableFuture.delayedExecutor(settleS * MS_PER_S, MILLISECONDS))
                .join();
    }

    private int finish(ExperimentResult result) {
        ResultJson.write(Path.of(out, "experiment.json"), result);
        HtmlReport.write(Path.of(out, "experiment.html"), result);
        System.out.println(result.summaryLine());
        result.groupLines().forEach(System.out::println);
        return result.runs().stream().allMatch(r -> r.load().tokens().clean()) ? 0 : 1;
    }
}
