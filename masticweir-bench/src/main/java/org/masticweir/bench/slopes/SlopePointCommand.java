package org.masticweir.bench.slopes;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.bench.BenchCommand;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.demo.NoSplitter;
import org.masticweir.bench.report.ResultJson;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.IpAddress;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/** Measures what routers without callers cost at one size. */
@Parameters(commandDescription = "measure what running routers cost at one size, for slopes")
public final class SlopePointCommand implements BenchCommand {
    private static final long MS_PER_S = 1000;

    @Parameter(names = "--sweep", required = true, description = "what the sweep varies")
    private Sweep sweep = Sweep.ROUTERS;

    @Parameter(names = "--at", required = true, description = "how many there are of these")
    private int at = 1;

    @Parameter(names = "--platform", required = true, description = "address of the platform")
    private String platform = "";

    @Parameter(
            names = "--router",
            required = true,
            splitter = NoSplitter.class,
            description = "ip:port,pid with the operators' address; may be repeated")
    private List<String> routers = new ArrayList<>();

    @Parameter(names = "--settle-s", description = "time before the measurement")
    private long settleS = 5;

    @Parameter(names = "--window-s", description = "time that is measured")
    private long windowS = 8;

    @Parameter(names = "--out", description = "directory of the result")
    private String out = "target/slopes";

    @Override
    public String name() {
        return "slope-point";
    }

    @Override
    public int run() {
        XnioWorker worker = BenchWorker.start(1);
        try (HttpCaller http = HttpCaller.create(worker, HttpCallerLimits.defaults())) {
            SlopePoint point = new SlopePoint(sweep, at, measure(new JsonCalls(http)));
            String file = String.format("%s-%06d.json", sweep.word(), at);
            ResultJson.write(Path.of(out, "points", file), point);
            System.out.println(point);
            return 0;
        } finally {
            worker.shutdownNow();
        }
    }

    private ImmutableMap<Cost, Double> measure(JsonCalls calls) {
        Clock clock = Clock.system();
        ImmutableList<RouterProcess> processes =
                routers.stream().map(RouterProcess::parse).collect(toImmutableList());
        CostMeter meter = new CostMeter(calls, clock, IpAddress.parse(platform), processes);
        ConfigDelay.pause(settleS * MS_PER_S);
        CostMeter.Totals before = meter.read();
        ConfigDelay.pause(windowS * MS_PER_S);
        ImmutableMap.Builder<Cost, Double> costs = ImmutableMap.builder();
        costs.putAll(meter.read().since(before));
        new ConfigDelay(calls, clock, processes)
                .measureMs()
                .ifPresent(ms -> costs.put(Cost.CONFIG_DELAY_MS, ms));
        return costs.build();
    }
}
