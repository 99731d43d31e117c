package org.masticweir.bench.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.masticweir.bench.BenchCommand;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.bench.standin.EngineProcess;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.bench.standin.StandInControl.RunGeneration;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.IpAddress;
import org.masticweir.standins.engine.TokenSource;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/** Runs one long report and one short lookup, and kills the report's engine under it. */
@Parameters(commandDescription = "the main job on processes that a script has started")
public final class DemoCommand implements BenchCommand {
    private static final int LOOKUP_TOKENS = 12;
    private static final int PROMPT_TOKENS = 64;
    private static final int KILL_AT_SHARE = 3;

    @Parameter(names = "--router", required = true, description = "callers' address of a router")
    private String router = "";

    @Parameter(
            names = "--engine",
            required = true,
            splitter = NoSplitter.class,
            description = "id,domain,group,ip:port,pid of an engine; may be repeated")
    private List<String> engines = new ArrayList<>();

    @Parameter(names = "--team", description = "team that asks")
    private String team = "advisers";

    @Parameter(names = "--report-class")
    private String reportClass = "reports";

    @Parameter(names = "--report-model")
    private String reportModel = "report";

    @Parameter(names = "--lookup-class")
    private String lookupClass = "lookups";

    @Parameter(names = "--lookup-model")
    private String lookupModel = "planning";

    @Parameter(names = "--tokens", description = "length of the report")
    private int tokens = 240;

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public int run() {
        XnioWorker worker = BenchWorker.start(2);
        try (HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults())) {
            StandInControl control = StandInControl.over(calls);
            return runWith(CallerClient.on(worker, Clock.system()), control);
        } finally {
            worker.shutdownNow();
        }
    }

    private int runWith(CallerClient caller, StandInControl control) {
        ImmutableList<EngineProcess> processes =
                engines.stream().map(EngineProcess::parse).collect(ImmutableList.toImmutableList());
        InetSocketAddress address = IpAddress.parse(router);
        if (!control.awaitReady(address)) {
            System.err.println("the router at " + router + " did not become ready");
            return 1;
        }
        CallRequest report =
                CallRequest.of(team, reportClass, reportModel, key("report"), prompt(), tokens);
        CallRequest lookup =
                CallRequest.of(
                        team, lookupClass, lookupModel, key("lookup"), prompt(), LOOKUP_TOKENS);
        AtomicBoolean killed = new AtomicBoolean();
        CompletableFuture<CallRecord> reportDone =
                caller.submitFirst(
                        address,
                        report,
                        count -> {
                            if (count >= tokens / KILL_AT_SHARE
                                    && killed.compareAndSet(false, true)) {
                                CompletableFuture.runAsync(
                                        () -> killEngineOf(control, processes, report));
                            }
                        });
        CompletableFuture<CallRecord> lookupDone = caller.submitFirst(address, lookup, count -> {});
        boolean lookupWhole = show("lookup", lookup, lookupDone.join(), control, processes);
        CallRecord record = reportDone.join();
        boolean reportWhole = show("report", report, record, control, processes);
        System.out.println(
                "resume latency: " + record.longestGapMs() + " ms, the longest gap between tokens");
        return lookupWhole && reportWhole ? 0 : 1;
    }

    private void killEngineOf(
            StandInControl control, List<EngineProcess> processes, CallRequest request) {
        processes.stream()
                .filter(e -> !control.runsOf(e.address(), request).isEmpty())
                .findFirst()
                .ifPresent(this::kill);
    }

    private void kill(EngineProcess engine) {
        System.out.println(
                "killed engine " + engine.id() + ", process " + engine.pid() + ", mid-report");
        engine.kill();
    }

    private boolean show(
            String what,
            CallRequest request,
            CallRecord record,
            StandInControl control,
            List<EngineProcess> processes) {
        List<RunGeneration> runs = new ArrayList<>();
        processes.forEach(e -> runs.addAll(control.runsOf(e.address(), request)));
        boolean one = record.disorders() == 0 && record.resets() == 0;
        boolean whole =
                record.outcome() == CallRecord.Outcome.COMPLETED
                        && record.tokens().length() == request.maxTokens()
                        && one
                        && runs.stream().anyMatch(r -> matches(record, r.seed()));
        System.out.printf(
                "%s: %s %s, %d of %d tokens, each once and of one generation: %s, %d ms%n",
                what,
                record.outcome(),
                record.verdict() + record.code(),
                record.tokens().length(),
                request.maxTokens(),
                whole ? "yes" : "NO",
                record.endedAtMs() - record.startedAtMs());
        return whole;
    }

    private static boolean matches(CallRecord record, long seed) {
        for (int i = 0; i < record.tokens().length(); i++) {
            if (record.tokens().get(i) != TokenSource.token(seed, i)) {
                return false;
            }
        }
        return true;
    }

    private String key(String what) {
        return "demo-" + what + "-" + ProcessHandle.current().pid();
    }

    private static ImmutableIntArray prompt() {
        ImmutableIntArray.Builder prompt = ImmutableIntArray.builder(PROMPT_TOKENS);
        for (int i = 0; i < PROMPT_TOKENS; i++) {
            prompt.add(i + 1);
        }
        return prompt.build();
    }
}
