package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** The operators' command line, run as a process against real routers. */
@ExtendWith(SharedDomainBed.class)
final class CommandLineTest {
    private static final int OK = 0;
    private static final int ROUTER_ERROR = 1;
    private static final int BAD_INPUT = 2;
    private static final int NOT_REACHABLE = 3;
    private static final int CONFLICT = 4;
    private static final int UNSETTLED = 5;
    private static final long RUN_BOUND_MS = 30_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final DomainBed bed;

    CommandLineTest(DomainBed bed) {
        this.bed = bed;
    }

    private CommandLineRun run(DomainRouter router, String... arguments) {
        return Await.get("command line", start(router, arguments), RUN_BOUND_MS);
    }

    /** Runs several commands at once and returns what each printed, in order; none may fail. */
    private ImmutableList<String> ok(String... commands) {
        return runAll(commands).stream()
                .map(CommandLineTest::outputOf)
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<CommandLineRun> runAll(String... commands) {
        ImmutableList<CompletableFuture<CommandLineRun>> runs =
                Arrays.stream(commands)
                        .map(c -> start(bed.routerA(), c.split(" ")))
                        .collect(ImmutableList.toImmutableList());
        return runs.stream()
                .map(r -> Await.get("command line", r, RUN_BOUND_MS))
                .collect(ImmutableList.toImmutableList());
    }

    private CompletableFuture<CommandLineRun> start(DomainRouter router, String... arguments) {
        return CommandLineRun.start(bed.directory(), router.operators(), arguments);
    }

    private static String outputOf(CommandLineRun run) {
        assertEquals(OK, run.exit(), run::err);
        assertEquals("", run.err());
        return run.out();
    }

    private static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String file(String document) {
        try {
            Path file = Files.createTempFile(bed.directory(), "document", ".ini");
            return Files.writeString(file, document).toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void assertHas(String part, String text) {
        assertTrue(text.contains(part), () -> "no \"" + part + "\" in:\n" + text);
    }

    /**
     * An operator looks at a router in quiet times and while a report streams.
     *
     * <p>Each query is asked as text and as JSON; the text is a table, the JSON is the router's own
     * answer. There is no fault: what is shown must be what is there.
     */
    @Nested
    final class OperatorLooks {
        @Test
        void statusNamesTheRouterAndItsPeers() {
            ImmutableList<String> out = ok("status", "status --json");
            String text = out.get(0);
            assertTrue(text.matches("(?s).*r1 +a +serving +\\d+\n.*"), text);
            assertTrue(text.matches("(?s).*r2 +b +serving +\\d+\n.*"), text);
            assertHas("requests: 0, platform: reachable", text);
            JsonNode status = json(out.get(1));
            assertEquals("r1", status.path("router").asText());
            assertEquals("reachable", status.path("platform").asText());
        }

        @Test
        void enginesShowsBothDomains() {
            ImmutableList<String> out = ok("engines", "engines --json");
            String text = out.get(0);
            assertTrue(text.matches("(?s).*e1 +a +report-engines +\\S+ +live .*"), text);
            assertTrue(text.matches("(?s).*e2 +b +report-engines +\\S+ +live .*"), text);
            assertEquals(2, json(out.get(1)).path("engines").size());
        }

        @Test
        void requestsShowsTheReportUnderWay() {
            RunningCall call = bed.submit(bed.routerA(), Requests.report(600)).awaitTokens(5);
            ImmutableList<String> out = ok("requests", "requests --json");
            String row = "(?s).* north +reports +report +e1 +\\d+ +1 +\\d+ +running .*";
            assertTrue(out.get(0).matches(row), out.get(0));
            JsonNode requests = json(out.get(1)).path("requests");
            assertEquals("running", requests.get(0).path("state").asText());
            bed.check().whole(call);
        }

        @Test
        void metricsShowsHistogramsOfClassAndTeam() {
            bed.check().whole(bed.submit(bed.routerA(), Requests.report(20)));
            ImmutableList<String> out = ok("metrics", "metrics --json");
            assertHas(".class.reports", out.get(0));
            assertHas(".team.north", out.get(0));
            assertTrue(json(out.get(1)).isObject());
        }

        @Test
        void configShowPrintsTheDocumentInForce() {
            ImmutableList<String> out = ok("config show", "config show --json");
            assertTrue(out.get(0).startsWith("# revision "), out.get(0));
            assertHas("[class.reports]", out.get(0));
            assertTrue(json(out.get(1)).path("revision").asLong() >= 1);
        }
    }

    /**
     * An operator changes a target: checks the file, looks at the difference, tries it, applies it.
     *
     * <p>Nothing changes before the last step, which says where the change is in force; the history
     * then names it. A document with a fault is refused before any router is asked.
     */
    @Nested
    final class OperatorChangesATarget {
        @Test
        void theChangeIsInForceAfterApplyOnly() {
            String next = file(Documents.withLookupTarget(410));
            long before = bed.operators(bed.routerA()).revision();
            ImmutableList<String> looks =
                    ok(
                            "config check " + next,
                            "config diff " + next,
                            "config apply --dry-run " + next);
            assertHas("valid: 4 classes, 3 teams, 2 models, 2 groups", looks.get(0));
            assertHas(" -> 410", looks.get(1));
            assertHas("dry run: the router would accept it", looks.get(2));
            assertEquals(before, bed.operators(bed.routerA()).revision());
            String applied = ok("config apply --author ann " + next).get(0);
            assertHas("accepted: revision " + (before + 1), applied);
            assertEquals(before + 1, bed.operators(bed.routerB()).revision());
            ImmutableList<String> after = ok("config history", "config diff " + next);
            assertHas(" ann ", after.get(0));
            assertFalse(after.get(1).contains("->"), after.get(1));
        }

        @Test
        void jsonCarriesTheRoutersAnswer() {
            String next = file(Documents.withLookupTarget(411));
            ImmutableList<String> looks =
                    ok("config check --json " + next, "config diff --json " + next);
            assertEquals(4, json(looks.get(0)).path("classes").asInt());
            assertEquals(1, json(looks.get(1)).size());
            JsonNode applied = json(ok("config apply --json " + next).get(0));
            assertEquals("accepted", applied.path("outcome").asText());
            JsonNode history = json(ok("config history --json").get(0));
            assertTrue(history.path("changes").size() >= 1);
        }

        @Test
        void badInputIsRefused() {
            String faulty = file(Documents.withLookupTarget(0));
            ImmutableList<CommandLineRun> runs =
                    runAll(
                            "config check " + faulty,
                            "config diff " + faulty,
                            "config apply " + faulty);
            for (CommandLineRun run : runs) {
                assertEquals(BAD_INPUT, run.exit(), run::err);
                assertHas("first_token_ms", run.err());
            }
            for (CommandLineRun run : runAll("status --no-such-flag", "config check no-file")) {
                assertEquals(BAD_INPUT, run.exit(), run::err);
            }
        }
    }

    /**
     * Two operators apply different documents at the same moment through two routers.
     *
     * <p>Both read the same revision, one is accepted, the other is told of a conflict that names
     * the accepted change. The cause is two people on call at once; the table is slow, so that both
     * reads come before either write.
     */
    @Nested
    final class TwoOperatorsAtOnce {
        @Test
        void oneIsAcceptedAndTheOtherIsToldOfIt() {
            long base = bed.operators(bed.routerA()).revision();
            bed.platformFault("{\"slow_ms\":600}");
            CompletableFuture<CommandLineRun> ann = apply(bed.routerA(), 420, "ann");
            CompletableFuture<CommandLineRun> ben = apply(bed.routerB(), 421, "ben");
            CommandLineRun first = Await.get("ann", ann, RUN_BOUND_MS);
            CommandLineRun second = Await.get("ben", ben, RUN_BOUND_MS);
            CommandLineRun won = first.exit() == OK ? first : second;
            CommandLineRun lost = won == first ? second : first;
            assertEquals(OK, won.exit(), won::err);
            assertEquals(CONFLICT, lost.exit(), lost::err);
            assertHas(won == first ? "ann" : "ben", lost.err());
            assertHas("revision " + (base + 1), lost.err());
            bed.platformFault("{\"slow_ms\":0}");
            assertEquals(base + 1, bed.operators(bed.routerA()).revision());
        }

        private CompletableFuture<CommandLineRun> apply(
                DomainRouter router, int target, String author) {
            String next = file(Documents.withLookupTarget(target));
            return CommandLineRun.start(
                    bed.directory(),
                    router.operators(),
                    "config",
                    "apply",
                    next,
                    "--author",
                    author);
        }
    }

    /**
     * An operator calls a router that does not answer.
     *
     * <p>Nothing listens at the address, or the router's process is stopped; the command ends in
     * time and says which. The cause is a wrong address, or a machine that hangs.
     */
    @Nested
    final class RouterSilent {
        @Test
        void nothingListens() {
            int port = ServerPorts.choose(1).get(0);
            InetSocketAddress nobody =
                    new InetSocketAddress(InetAddresses.forString("127.0.0.1"), port);
            CommandLineRun run =
                    Await.get(
                            "command line",
                            CommandLineRun.start(bed.directory(), nobody, "status"),
                            RUN_BOUND_MS);
            assertEquals(NOT_REACHABLE, run.exit(), run::err);
            assertHas("is not reachable", run.err());
        }

        @Test
        void theRouterIsStopped() {
            bed.routerA().process().pause();
            try {
                CommandLineRun run = run(bed.routerA(), "status", "--timeout-ms", "500");
                assertEquals(NOT_REACHABLE, run.exit(), run::err);
                assertHas("did not answer: no answer within 500 ms", run.err());
            } finally {
                bed.routerA().process().resume();
            }
        }
    }

    /**
     * An operator applies a change while the platform's table is out.
     *
     * <p>The router answers in time that nothing is written, and nothing appears later. The cause
     * is an outage of the table service.
     */
    @Nested
    final class TableOut {
        @Test
        void theChangeIsNotWrittenAndTheHistoryNotRead() {
            long before = bed.operators(bed.routerA()).revision();
            bed.platformFault("{\"outage_ms\":60000}");
            String next = file(Documents.withLookupTarget(430));
            for (CommandLineRun run : runAll("config apply " + next, "config history")) {
                assertEquals(ROUTER_ERROR, run.exit(), run::err);
                assertHas("PLATFORM_UNAVAILABLE", run.err());
            }
            bed.platformFault("{\"outage_ms\":0}");
            bed.awaitHealed();
            assertEquals(before, bed.operators(bed.routerA()).revision());
        }
    }

    /**
     * An operator applies a change while one failure domain is cut off.
     *
     * <p>The change is written, the answer after a bounded wait is that domain b is not known to
     * hold it, and exit code 5 tells a script so. The cause is a network partition.
     */
    @Nested
    final class DomainCutOff {
        @Test
        void theChangeIsPendingAndTheDomainNamed() {
            bed.betweenDomains("cut");
            bed.toPlatform(bed.routerB(), "cut");
            String next = file(Documents.withLookupTarget(440));
            CommandLineRun run = run(bed.routerA(), "config", "apply", next);
            assertEquals(UNSETTLED, run.exit(), run::err);
            assertTrue(run.err().matches("(?s).*pending: .* not held in b\n"), run.err());
        }
    }

    /**
     * An operator drains a router.
     *
     * <p>The router is no longer ready at once, finishes what it has, and its process ends by
     * itself with code 0. The cause is a planned replacement of the instance.
     */
    @Nested
    final class Drained {
        private static final long EXIT_BOUND_MS = 15_000;

        @Test
        void theRouterFinishesItsReportAndLeaves() {
            DomainRouter router = bed.addRouter("r3", "a");
            router.start();
            bed.awaitServing(router);
            RunningCall report = bed.submit(router, Requests.report(300)).awaitTokens(5);
            CommandLineRun run = run(router, "drain");
            assertEquals(OK, run.exit(), run::err);
            assertHas("draining", run.out());
            assertEquals(503, bed.ready(router));
            bed.check().whole(report);
            int exit = Await.get("exit", router.process().exit(), EXIT_BOUND_MS);
            assertEquals(0, exit);
        }
    }
}
