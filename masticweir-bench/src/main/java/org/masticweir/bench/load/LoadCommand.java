package org.masticweir.bench.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.bench.BenchCommand;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.bench.demo.NoSplitter;
import org.masticweir.bench.report.HtmlReport;
import org.masticweir.bench.report.LoadResult;
import org.masticweir.bench.report.ResultJson;
import org.masticweir.bench.standin.EngineProcess;
import org.masticweir.bench.standin.EngineRecorder;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.IpAddress;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/** Puts an open-loop load on routers and writes what their callers saw. */
@Parameters(commandDescription = "open-loop load on routers, measured as callers see it")
public final class LoadCommand implements BenchCommand {
    private static final int IO_THREADS = 2;

    @ParametersDelegate private final LoadFlags load = new LoadFlags();

    @Parameter(
            names = "--router",
            required = true,
            description = "callers' address of a router; may be repeated, taken in turn")
    private List<String> routers = new ArrayList<>();

    @Parameter(
            names = "--engine",
            splitter = NoSplitter.class,
            description = "id,domain,group,ip:port,pid of an engine stand-in; may be repeated")
    private List<String> engines = new ArrayList<>();

    @Parameter(names = "--out", description = "directory of the result")
    private String out = "target/bench";

    @Override
    public String name() {
        return "load";
    }

    @Override
    public int run() {
        XnioWorker worker = BenchWorker.start(IO_THREADS);
        try (HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults())) {
            return runWith(
                    CallerClient.on(worker, Clock.system()),
                    StandInControl.over(calls),
                    Clock.system());
        } finally {
            worker.shutdownNow();
        }
    }

    private int runWith(CallerClient caller, StandInControl control, Clock clock) {
        ImmutableList<InetSocketAddress> addresses =
                routers.stream().map(IpAddress::parse).collect(ImmutableList.toImmutableList());
        if (!addresses.stream().allMatch(control::awaitReady)) {
            System.err.println("not all routers became ready");
            return 1;
        }
        ImmutableList<EngineProcess> processes =
                engines.stream().map(EngineProcess::parse).collect(ImmutableList.toImmutableList());
        EngineRecorder recorder = EngineRecorder.start(control, processes);
        LoadPlan plan = LoadPlan.draw(load.shape(), "load-" + clock.wallMs());
        try (LoadRun run = LoadRun.start(caller, clock, addresses, plan)) {
            ImmutableList<ObservedCall> calls = run.await(load.drainMs());
            return finish(
                    LoadMeasurement.measure(
                            load.shape(), calls, run.startedAtMs(), recorder.finish()));
        }
    }

    private int finish(LoadResult result) {
        ResultJson.write(Path.of(out, "load.json"), result);
        HtmlReport.write(Path.of(out, "load.html"), result);
        System.out.println(result.summaryLine());
        return result.tokens().clean() ? 0 : 1;
    }
}
