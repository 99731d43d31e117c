package org.masticweir.bench.path;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.masticweir.bench.BenchCommand;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.report.ResultJson;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.IpAddress;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/** Measures what a token and a request cost a router, and what it adds to a token's latency. */
@Parameters(commandDescription = "cost and latency of tokens through a router and without one")
public final class PathCommand implements BenchCommand {
    private static final long MS_PER_S = 1000;
    private static final double US_PER_MS = 1000;
    private static final double MEDIAN = 50;
    private static final double HIGH = 99;

    @Parameter(names = "--router", required = true, description = "callers' address of the router")
    private String router = "";

    @Parameter(names = "--pid", required = true, description = "its process")
    private long pid;

    @Parameter(names = "--peer-pid", description = "process of another router; may be repeated")
    private List<Long> peers = new ArrayList<>();

    @Parameter(names = "--engine", description = "address of an engine; may be repeated")
    private List<String> engines = new ArrayList<>();

    @Parameter(
            names = "--shape",
            required = true,
            description = "STREAMSxTOKENS, short streams first")
    private List<String> shapes = new ArrayList<>();

    @Parameter(names = "--class", description = "the calls' class of work")
    private String workClass = "reports";

    @Parameter(names = "--settle-s", description = "time before each measurement")
    private long settleS = 8;

    @Parameter(names = "--window-s", description = "time that is measured")
    private long windowS = 8;

    @Parameter(names = "--rest-s", description = "time after each for its streams to end")
    private long restS = 4;

    @Parameter(names = "--io-threads", description = "threads of the callers")
    private int ioThreads = 2;

    @Parameter(names = "--out", description = "file of the result")
    private String out = "target/path/path.json";

    private final Clock clock = Clock.system();

    @Override
    public String name() {
        return "path";
    }

    @Override
    public int run() {
        XnioWorker worker = BenchWorker.start(ioThreads);
        try (HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults())) {
            if (!StandInControl.over(calls).awaitReady(IpAddress.parse(router))) {
                System.err.println("the router did not become ready");
                return 1;
            }
            return measure(worker);
        } finally {
            worker.shutdownNow();
        }
    }

    private int measure(XnioWorker worker) {
        ImmutableList<PathShape> wanted =
                shapes.stream().map(PathShape::parse).collect(toImmutableList());
        ImmutableList.Builder<PathPoint> points = ImmutableList.builder();
        if (!engines.isEmpty()) {
            points.add(direct(worker, wanted.get(0)));
        }
        double rest = restMsPerS();
        ImmutableList<PathPoint> routed =
                wanted.stream().map(s -> throughRouter(worker, s)).collect(toImmutableList());
        points.addAll(routed);
        CostSplit split = split(routed, rest);
        ResultJson.write(Path.of(out), new PathResult(rest, points.build(), split));
        System.out.printf(
                "split: %.1f us a token, %.0f us a request, at rest %.1f ms/s%n",
                split.usPerToken(), split.usPerRequest(), rest);
        return routed.stream().allMatch(p -> p.failed() == 0) ? 0 : 1;
    }

    private PathPoint throughRouter(XnioWorker worker, PathShape shape) {
        InetSocketAddress address = IpAddress.parse(router);
        PathCalls calls = new PathCalls(workClass, shape.tokens());
        return point("router", worker, shape, ImmutableList.of(n -> calls.toRouter(address, n)));
    }

    private PathPoint direct(XnioWorker worker, PathShape shape) {
        PathCalls calls = new PathCalls(workClass, shape.tokens());
        ImmutableList<PathLoad.CallSource> sources =
                engines.stream()
                        .map(IpAddress::parse)
                        .map(e -> (PathLoad.CallSource) n -> calls.toEngine(e, n))
                        .collect(toImmutableList());
        return point("direct", worker, shape, sources);
    }

    private PathPoint point(
            String way,
            XnioWorker worker,
            PathShape shape,
            ImmutableList<PathLoad.CallSource> sources) {
        PathPoint point;
        try (PathLoad load = PathLoad.start(worker, sources, shape)) {
            pause(settleS);
            PathLoad.Counts from = load.read();
            Processors before = processors();
            pause(windowS);
            point = pointOf(way, shape, from, load.read(), processors().since(before));
        }
        System.out.println(point.line());
        // Streams that are still open end by themselves.
        pause(restS);
        return point;
    }

    private static PathPoint pointOf(
            String way,
            PathShape shape,
            PathLoad.Counts from,
            PathLoad.Counts to,
            Processors used) {
        double seconds = used.atMs / (double) MS_PER_S;
        return new PathPoint(
                way,
                shape.streams(),
                shape.tokens(),
                (to.tokens() - from.tokens()) / seconds,
                (to.ended() - from.ended()) / seconds,
                to.failed(),
                used.routerMs / seconds,
                used.peersMs / seconds,
                to.latencyUs().getValueAtPercentile(MEDIAN),
                to.latencyUs().getValueAtPercentile(HIGH),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    private double restMsPerS() {
        Processors before = processors();
        pause(windowS);
        Processors used = processors().since(before);
        return used.routerMs * MS_PER_S / (double) used.atMs;
    }

    private static CostSplit split(ImmutableList<PathPoint> points, double restMsPerS) {
        return CostSplit.of(
                points.stream()
                        .map(
                                p ->
                                        new CostSplit.Load(
                                                p.tokensPerS(),
                                                p.requestsPerS(),
                                                (p.routerMsPerS() - restMsPerS) * US_PER_MS))
                        .collect(toImmutableList()));
    }

    private Processors processors() {
        long peersMs = peers.stream().mapToLong(WorkTime::ofMs).sum();
        return new Processors(clock.nowMs(), WorkTime.ofMs(pid), peersMs);
    }

    private static void pause(long seconds) {
        Executor later = CompletableFuture.delayedExecutor(seconds * MS_PER_S, MILLISECONDS);
        CompletableFuture.runAsync(() -> {}, later).join();
    }

    /** Processor time used so far. */
    private record Processors(long atMs, long routerMs, long peersMs) {
        Processors since(Processors before) {
            return new Processors(
                    atMs - before.atMs, routerMs - before.routerMs, peersMs - before.peersMs);
        }
    }
}
