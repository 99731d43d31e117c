package org.masticweir.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The command line against a fake router: what it sends, prints and exits with. */
class MasticweirTest {
    private static final String DOCUMENT =
            "[class.reports]\nfirst_token_ms = 1\ntotal_ms = 2\nreliability = tokens\n"
                    + "recovery = prompt\n[team.a]\nshare = 1\ncredential_sha256 = "
                    + "ab".repeat(32)
                    + "\n[model.report]\nkind = engine\nversion = 1\n[engines.north]\n"
                    + "vendor = counts\nchecks_fencing = true\nmodels = report\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final FakeRouter router = FakeRouter.start();
    @TempDir private Path dir;
    private Path file;

    @BeforeEach
    void writeDocument() throws IOException {
        file = Files.writeString(dir.resolve("d.ini"), DOCUMENT);
    }

    @AfterEach
    void stopRouter() {
        router.close();
    }

    private ExitCode run(String... args) {
        return new Masticweir(new PrintStream(out), new PrintStream(err)).run(args);
    }

    private ExitCode ask(String... args) {
        String[] all = new String[args.length + 4];
        System.arraycopy(
                new String[] {"--router", router.address(), "--timeout-ms", "1500"}, 0, all, 0, 4);
        System.arraycopy(args, 0, all, 4, args.length);
        return run(all);
    }

    private void holds(long revision, String changeId, String document) {
        OperatorMessages.Config held = new OperatorMessages.Config(revision, changeId, document);
        router.answer("GET /v1/config", 200, Json.write(held));
    }

    /** Arguments and help. */
    @Nested
    class Arguments {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "status",
                    "engines",
                    "requests",
                    "metrics",
                    "drain",
                    "config",
                    "config show",
                    "config check",
                    "config diff",
                    "config apply",
                    "config history",
                    "quarantine",
                    "quarantine list",
                    "quarantine release"
                })
        void everyCommandHasHelpWithExitCodes(String command) {
            assertEquals(ExitCode.OK, run((command + " --help").split(" ")));
            assertTrue(out.toString().contains("5  the outcome of a change"), out.toString());
            assertTrue(out.toString().contains("--timeout-ms"), out.toString());
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "nosuch",
                    "config",
                    "config check",
                    "quarantine",
                    "quarantine release",
                    "config check no-such-file.ini",
                    "status --timeout-ms 0",
                    "status --router localhost:1",
                    "status --nosuch"
                })
        void badArgumentsEndWithTwo(String line) {
            assertEquals(ExitCode.BAD_INPUT, run(line.split(" ")));
            assertFalse(err.toString().isEmpty());
        }

        @Test
        void checkTellsEveryProblem() throws IOException {
            Files.writeString(file, DOCUMENT.replace("tokens", "x").replace("counts", "y"));
            assertEquals(ExitCode.BAD_INPUT, run("config", "check", file.toString()));
            assertEquals(2, err.toString().lines().count());
        }
    }

    /** Commands that only read. */
    @Nested
    class Queries {
        @Test
        void statusIsATableForPeopleAndRawForScripts() {
            String body =
                    "{\"router\":\"r1\",\"domain\":\"n\",\"state\":\"serving\",\"config_revision\":7,"
                            + "\"requests\":2,\"peers\":[{\"router\":\"r2\",\"domain\":\"s\"}],"
                            + "\"platform\":\"reachable\",\"later_field\":1}";
            router.answer("GET /v1/status", 200, body);
            assertEquals(ExitCode.OK, ask("status"));
            assertTrue(out.toString().contains("r1      n       serving  7"), out.toString());
            out.reset();
            assertEquals(ExitCode.OK, ask("status", "--json"));
            assertEquals(body, out.toString().strip());
        }

        @Test
        void everyListIsShown() {
            router.answer("GET /v1/engines", 200, "{\"engines\":[{\"id\":\"e1\"}]}")
                    .answer("GET /v1/requests", 200, "{\"requests\":[{\"class\":\"reports\"}]}")
                    .answer("GET /v1/config/history", 200, "{\"changes\":[{\"author\":\"jo\"}]}")
                    .answer("GET /metrics", 200, "{\"timers\":{\"x\":{\"p99\":4}}}");
            assertEquals(ExitCode.OK, ask("engines"));
            assertEquals(ExitCode.OK, ask("requests"));
            assertEquals(ExitCode.OK, ask("config", "history"));
            assertEquals(ExitCode.OK, ask("metrics"));
            for (String part : new String[] {"e1", "reports", "jo", "timers.x.p99  4"}) {
                assertTrue(out.toString().contains(part), out.toString());
            }
        }

        @Test
        void quarantineIsATable() {
            router.answer(
                    "GET /v1/quarantine",
                    200,
                    "{\"contents\":[{\"id\":\"ab12\",\"kind\":\"part\",\"state\":\"quarantined\","
                            + "\"held_ms\":59000,\"ends\":3,\"servers\":[\"i-1\",\"i-2\"]}],"
                            + "\"omitted\":7}");
            assertEquals(ExitCode.OK, ask("quarantine", "list"));
            assertTrue(
                    out.toString().contains("ab12  part  quarantined  59000    3     i-1,i-2"),
                    out.toString());
            assertTrue(out.toString().contains("and 7 older ones"), out.toString());
        }

        @Test
        void errorUnreachableAndSilence() {
            router.answer("GET /v1/status", 503, "{\"code\":\"INTERNAL\",\"message\":\"no\"}")
                    .fail("GET /v1/engines", FakeRouter.Fault.SILENCE);
            assertEquals(ExitCode.ROUTER_ERROR, ask("status"));
            assertTrue(err.toString().contains("503 INTERNAL: no"));
            assertEquals(ExitCode.NOT_REACHABLE, ask("engines", "--timeout-ms", "200"));
            assertTrue(err.toString().contains("no answer within 200 ms"));
            router.close();
            assertEquals(ExitCode.NOT_REACHABLE, ask("status"));
        }
    }

    /** Changes, and what is said when their answer does not come. */
    @Nested
    class Changes {
        private ExitCode applyAnswered(int status, String body) {
            holds(6, "c6", DOCUMENT.replace("share = 1", "share = 3"));
            router.answer("POST /v1/config", status, body);
            return ask("config", "apply", file.toString(), "--author", "jo");
        }

        @Test
        void acceptedChangeShowsItsDiffAndSendsItsBase() {
            assertEquals(
                    ExitCode.OK, applyAnswered(200, "{\"outcome\":\"accepted\",\"revision\":7}"));
            assertTrue(out.toString().contains("~ [team.a] share = 3 -> 1"), out.toString());
            OperatorMessages.Apply sent =
                    Json.read(router.bodies().get(0), OperatorMessages.Apply.class).orElseThrow();
            assertEquals(6, sent.baseRevision());
            assertEquals("jo", sent.author());
            assertEquals(DOCUMENT, sent.document());
        }

        @Test
        void pendingNamesTheDomainThatLacksIt() {
            String body =
                    "{\"outcome\":\"pending\",\"revision\":7,\"domains\":["
                            + "{\"domain\":\"n\",\"holds\":true},{\"domain\":\"s\",\"holds\":false}]}";
            assertEquals(ExitCode.UNSETTLED, applyAnswered(200, body));
            assertTrue(err.toString().contains("not held in s"), err.toString());
        }

        @Test
        void unknownConflictAndInvalid() {
            assertEquals(ExitCode.UNSETTLED, applyAnswered(200, "{\"outcome\":\"unknown\"}"));
            String conflict = "{\"code\":\"CONFLICT\",\"message\":\"change c7 by ada came first\"}";
            assertEquals(ExitCode.CONFLICT, applyAnswered(409, conflict));
            assertTrue(err.toString().contains("change c7 by ada"));
            String invalid = "{\"code\":\"SETTINGS_INVALID\",\"message\":\"x\"}";
            assertEquals(ExitCode.BAD_INPUT, applyAnswered(400, invalid));
        }

        @Test
        void firstDocumentGoesOnRevisionZero() {
            router.answer("GET /v1/config", 503, "{\"code\":\"NO_CONFIGURATION\"}")
                    .answer("POST /v1/config", 200, "{\"outcome\":\"accepted\",\"revision\":1}");
            assertEquals(ExitCode.OK, ask("config", "apply", file.toString()));
            assertTrue(router.bodies().get(0).contains("\"base_revision\":0"));
        }

        /**
         * An operator applies a change; the router takes it, and its connection breaks before the
         * answer. The operator must not be told that nothing happened: the change may be written.
         */
        @ParameterizedTest
        @ValueSource(strings = {"CLOSE", "SILENCE"})
        void lostAnswerIsUnknown(String fault) {
            holds(6, "c6", DOCUMENT);
            router.fail("POST /v1/config", FakeRouter.Fault.valueOf(fault));
            assertEquals(ExitCode.UNSETTLED, ask("config", "apply", file.toString()));
            assertTrue(err.toString().contains("is unknown"), err.toString());
        }

        @Test
        void releaseSendsTheIdAndSaysWhatFailed() {
            router.answer("POST /v1/quarantine/release", 200, "{\"id\":\"ab12\"}");
            assertEquals(ExitCode.OK, ask("quarantine", "release", "ab12"));
            assertTrue(out.toString().contains("released ab12"), out.toString());
            assertEquals("{\"id\":\"ab12\"}", router.bodies().get(0));
            String unknown = "{\"code\":\"NOT_FOUND\",\"message\":\"no server ended under ab12\"}";
            router.answer("POST /v1/quarantine/release", 404, unknown);
            assertEquals(ExitCode.ROUTER_ERROR, ask("quarantine", "release", "ab12"));
            assertTrue(err.toString().contains("no server ended under ab12"), err.toString());
            router.fail("POST /v1/quarantine/release", FakeRouter.Fault.SILENCE);
            assertEquals(ExitCode.UNSETTLED, ask("quarantine", "release", "ab12"));
        }

        @Test
        void dryRunDiffAndDrain() {
            holds(6, "c6", DOCUMENT);
            router.answer("POST /v1/config", 200, "{\"outcome\":\"checked\",\"revision\":7}")
                    .answer("POST /v1/drain", 202, "{}");
            assertEquals(ExitCode.OK, ask("config", "apply", "--dry-run", file.toString()));
            assertTrue(router.bodies().get(0).contains("\"dry_run\":true"));
            assertEquals(ExitCode.OK, ask("config", "diff", file.toString(), "--json"));
            assertTrue(out.toString().contains("[]"));
            assertEquals(ExitCode.OK, ask("drain"));
        }
    }
}
