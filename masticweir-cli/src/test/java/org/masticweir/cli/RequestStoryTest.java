package org.masticweir.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * An engineer on call has the id of a report that paused, and the logs of eight routers with
 * thousands of lines a second. What decided lies in four of them, one on a router that the request
 * never met.
 */
class RequestStoryTest {
    private static final String GOES =
            "2026-12-03T00:00:01.100Z INFO  relay: request a1 goes to e1 in north, send 1";
    private static final String LOST =
            "2026-12-03T00:00:02.300Z INFO  relay: request a1: e1 in north lost it";
    private static final String REMOVED =
            "2026-12-03T00:00:02.250Z INFO  instances: e1 removed, revision 7 from r2";

    private static ImmutableList<String> story(String... lines) {
        RequestStory story = new RequestStory("a1");
        for (String line : lines) {
            story.take(line);
        }
        return story.inOrder();
    }

    @Test
    void isInOrderOfTimeOverAllLogs() {
        assertEquals(ImmutableList.of(GOES, LOST), story(LOST, GOES));
    }

    @Test
    void tellsWhatWasLearntOfItsServersMeanwhile() {
        assertEquals(ImmutableList.of(GOES, REMOVED, LOST), story(REMOVED, GOES, LOST));
    }

    @Test
    void readsTheOtherLayoutOfLogsToo() {
        String resumed =
                "{\"time\":\"2026-12-03T00:00:01Z\",\"message\":\"recovery: request a1 resumed on e1\"}";
        String suspect =
                "{\"time\":\"2026-12-03T00:00:00Z\",\"message\":\"routing: engine e1 suspect\"}";
        assertEquals(ImmutableList.of(suspect, resumed), story(resumed, suspect));
    }

    /** A request whose caller got part of an answer: the line says who ended it, and why. */
    @Test
    void tellsWhoCutTheAnswer() {
        String cut =
                "2026-12-03T00:00:02.400Z INFO  relay: request a1 was cut, DEADLINE by the ROUTER"
                        + " after 1300 ms: at e1 in send 1, after an event, its time is over; 3"
                        + " events and 96 bytes written, 0 bytes queued; a server's last bytes 900"
                        + " ms ago, config 8 at admission and 9 now, turn 0 ms late";
        assertEquals(ImmutableList.of(GOES, cut), story(cut, GOES));
    }

    @Test
    void tellsThatTheStoreWasAway() {
        String away = "2026-12-03T00:00:00.900Z WARN  feed: table servers lost, no answer";
        assertEquals(ImmutableList.of(away, GOES), story(GOES, away));
    }

    @Test
    void leavesOutOtherRequestsServersAndTimes() {
        String other = "2026-12-03T00:00:01.100Z INFO  relay: request a12 goes to e1 in north";
        String server = "2026-12-03T00:00:01.100Z INFO  instances: e2 removed, revision 7";
        String late = "2026-12-03T00:01:01.100Z INFO  instances: e1 present, revision 9 from r2";
        assertEquals(ImmutableList.of(GOES), story(other, server, late, GOES, "no time, a1"));
    }

    @Test
    void isEmptyForARequestThatNoLineNames() {
        assertTrue(story(REMOVED).isEmpty());
    }

    /** Guards against a refusal whose cause an operator cannot find: it lies minutes before. */
    @Test
    void tellsWhichServersEndedUnderItsPart() {
        String part = "0123456789abcdef0123456789abcdef";
        String held =
                "2026-12-03T00:00:00Z WARN  quarantine: part "
                        + part
                        + " is not sent for 60000 ms, i-8 ended under it";
        String other = held.replace(part, "f" + part.substring(1));
        String refused =
                "2026-12-03T00:00:40Z INFO  relay: request a1 ends QUARANTINED NOT_RUN after 1 ms"
                        + " and 0 sends, servers ended under this content, part "
                        + part;
        String later = held.replace("00:00:00Z", "00:01:00Z");
        assertEquals(ImmutableList.of(held, refused), story(later, other, refused, held));
    }

    /** The command around it. */
    @Nested
    class Command {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private final ByteArrayOutputStream err = new ByteArrayOutputStream();
        @TempDir private Path dir;

        private ExitCode run(String... args) {
            return new Masticweir(new PrintStream(out), new PrintStream(err)).run(args);
        }

        @Test
        void readsAllFilesNamed() throws IOException {
            Path one = Files.writeString(dir.resolve("r1.log"), LOST + "\n");
            Path two = Files.writeString(dir.resolve("r2.log"), GOES + "\n");
            assertEquals(ExitCode.OK, run("explain", "a1", one.toString(), two.toString()));
            assertEquals(GOES + "\n" + LOST + "\n", out.toString());
        }

        @Test
        void saysWhenNoLineNamesTheRequest() throws IOException {
            Path log = Files.writeString(dir.resolve("r1.log"), REMOVED + "\n");
            assertEquals(ExitCode.BAD_INPUT, run("explain", "a1", log.toString()));
            assertTrue(err.toString().contains("no line names request a1"), err.toString());
        }

        @Test
        void saysWhichFileCannotBeRead() {
            assertEquals(ExitCode.BAD_INPUT, run("explain", "a1", dir + "/none.log"));
            assertTrue(err.toString().contains("none.log"), err.toString());
        }
    }
}
