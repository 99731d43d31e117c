package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.standin.StandInControl.RunGeneration;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/** Callers leave, read slowly or send what they should not. */
@ExtendWith(SharedTestBed.class)
final class CallerFaultTest {
    /** The longest halt that another caller's fault may cause in a stream. */
    private static final long DISTURBANCE_BOUND_MS = 500;

    private final TestBed bed;

    CallerFaultTest(TestBed bed) {
        this.bed = bed;
    }

    private void assertUndisturbed(RunningCall call) {
        bed.check().whole(call);
        long gapMs = call.record().longestGapMs();
        assertTrue(gapMs <= DISTURBANCE_BOUND_MS, () -> "longest gap " + gapMs + " ms");
    }

    /**
     * An engine does not go on for long for a caller that has left.
     *
     * <p>The caller takes some tokens and closes its connection, nobody comes back for the answer,
     * the engine is told to stop. The cause is a tablet that was switched off.
     */
    @Nested
    final class CallerLeaves {
        private static final int TOKENS = 1_000;
        private static final long SLACK_MS = 1_000;

        @Test
        void theEngineStopsWithinTheOrphanTime() {
            CallRequest request = Requests.report(TOKENS);
            try (SocketCaller caller = SocketCaller.connect(bed.router().callers())) {
                caller.submit(request);
                caller.awaitToken(0);
            }
            BackEndProcess engine = bed.engineOf(request);
            Await.until(
                    "cancelled",
                    TestBed.ORPHAN_MS + SLACK_MS,
                    () -> bed.cancelledOn(engine, request));
            RunGeneration run = bed.runsOf(request).get(0);
            assertTrue(run.produced() < TOKENS, () -> "computed " + run);
            Await.holds(
                    "nothing computed any more",
                    SLACK_MS,
                    () -> bed.runsOf(request).get(0).produced() == run.produced());
        }

        @Test
        void aCallerThatIsBackInTimeKeepsItsRequest() {
            CallRequest request = Requests.report(200);
            try (SocketCaller caller = SocketCaller.connect(bed.router().callers())) {
                caller.submit(request);
                caller.awaitToken(0);
            }
            Await.elapse(TestBed.ORPHAN_MS / 2);
            bed.check().whole(bed.submit(request));
            assertEquals(1, bed.runsOf(request).size(), "runs");
        }
    }

    /**
     * A caller that reads slowly holds up no other caller.
     *
     * <p>One caller asks for more than its connection's buffers hold and reads nothing, another's
     * report streams meanwhile, then the first reads on. The cause is a tablet with a poor link.
     */
    @Nested
    final class SlowCaller {
        /** Reads of one answer that together exceed the buffers of a connection. */
        private static final int READS = 500;

        private static final int TOKENS = 300;

        @Test
        void anotherCallersStreamGoesOnAndTheSlowOneGetsAll() {
            RunningCall first = bed.submit(Requests.report(TOKENS));
            bed.check().whole(first);
            try (SocketCaller slow = SocketCaller.connect(bed.router().callers())) {
                slow.readAgain(first.request(), READS);
                assertUndisturbed(bed.submit(Requests.report(TOKENS)));
                for (int read = 0; read < READS; read++) {
                    for (int i = 0; i < TOKENS; i++) {
                        slow.awaitToken(i);
                    }
                    assertEquals("end", slow.nextLine("event: "));
                }
            }
        }
    }

    /**
     * A caller that sends what it should not gets a clear error and disturbs nobody.
     *
     * <p>A report streams to one caller, another one's bad call is answered with a code and a
     * verdict, the report goes on. The cause is a faulty or hostile program.
     */
    @Nested
    final class BadInput {
        private static final int BODY_BYTES = 2 << 20;
        private static final int HEADERS = 150;
        private static final int HEADER_CHARS = 200;
        private static final String REQUESTS = "/v1/requests";

        private CallerHttp caller;
        private RunningCall other;

        @BeforeEach
        void startAnotherCallersStream() {
            caller = new CallerHttp(bed.router().callers());
            other = bed.submit(Requests.report(100)).awaitTokens(1);
        }

        @AfterEach
        void theOtherCallersStreamIsWhole() {
            assertUndisturbed(other);
        }

        @Test
        void aBodyTooLarge() {
            HttpRequest.Builder large =
                    caller.as("south", REQUESTS)
                            .POST(BodyPublishers.ofByteArray(new byte[BODY_BYTES]));
            assertRefused(413, "BODY_TOO_LARGE", large);
        }

        @Test
        void aBodyTooLargeThatDoesNotSayItsLength() {
            HttpRequest.Builder large =
                    caller.as("south", REQUESTS)
                            .POST(
                                    BodyPublishers.fromPublisher(
                                            BodyPublishers.ofByteArray(new byte[BODY_BYTES])));
            assertRefused(413, "BODY_TOO_LARGE", large);
        }

        @Test
        void badJson() {
            assertRefused(400, "BAD_REQUEST", submission("{\"class\":"));
            assertRefused(400, "BAD_REQUEST", submission("[1,2]"));
            assertRefused(400, "BAD_REQUEST", submission("{\"class\":7,\"model\":{}}"));
            assertRefused(400, "BAD_REQUEST", submission(""));
        }

        @Test
        void anUnknownTeamClassOrModel() {
            assertRefused(401, "UNKNOWN_TEAM", submissionAs("nobody", "lookups", "report"));
            assertRefused(400, "UNKNOWN_CLASS", submissionAs("south", "nothing", "report"));
            assertRefused(400, "UNKNOWN_MODEL", submissionAs("south", "lookups", "nothing"));
        }

        @Test
        void aWrongCredentialOrNone() {
            String body = Requests.lookup(5).body();
            HttpRequest.Builder wrong =
                    caller.anonymous(REQUESTS)
                            .header("Masticweir-Team", "south")
                            .header("Authorization", "Bearer north-secret")
                            .POST(BodyPublishers.ofString(body));
            assertRefused(401, "UNAUTHORIZED", wrong);
            HttpRequest.Builder none =
                    caller.anonymous(REQUESTS).POST(BodyPublishers.ofString(body));
            assertRefused(401, "UNAUTHORIZED", none);
        }

        /**
         * The team's credential is changed while a letter runs; its program, cut off, submits the
         * letter again under the former one. Told NOT_RUN, the adviser would write it by hand.
         */
        @Test
        void ofAKeyThatMayHaveBeenSubmittedBeforeNothingIsSaid() {
            HttpRequest.Builder wrong =
                    caller.anonymous(REQUESTS)
                            .header("Masticweir-Team", "south")
                            .header("Authorization", "Bearer former-secret")
                            .POST(BodyPublishers.ofString(Letters.followUp(5).body()));
            CallerHttp.Answer answer = caller.send(wrong);
            assertEquals("UNAUTHORIZED", answer.code());
            assertEquals("MAY_HAVE_RUN", answer.verdict());
            assertEquals("NOT_SENT", answer.submission());
        }

        /** A key that was used for another request may not be called first. */
        @Test
        void theWordThatAKeyIsNewIsCheckedByTheRouterThatHasIt() {
            CallRequest reused = withTokens(other.request(), 7);
            CallerHttp.Answer answer = caller.submitFirstWhole(reused);
            assertEquals("KEY_REUSED", answer.code());
            assertEquals("MAY_HAVE_RUN", answer.verdict());
            assertEquals("NOT_SENT", answer.submission());
        }

        private CallRequest withTokens(CallRequest request, int tokens) {
            return CallRequest.of(
                    request.team(),
                    request.workClass(),
                    request.model(),
                    request.key(),
                    request.prompt(),
                    tokens);
        }

        @Test
        void anotherTeamsRequestCanBeNeitherReadNorCancelled() {
            CallRequest foreign = other.request();
            RequestId id = RequestId.forKey(TeamId.of(foreign.team()), foreign.key());
            String path = REQUESTS + "/" + id;
            assertEquals(404, assertCode("NOT_FOUND", caller.as("south", path).GET()));
            assertEquals(404, assertCode("NOT_FOUND", caller.as("south", path).DELETE()));
            assertFalse(bed.cancelledOn(bed.engineOf(foreign), foreign), "cancelled");
        }

        @Test
        void anUnsupportedMethodOrPath() {
            HttpRequest.Builder put =
                    caller.as("south", REQUESTS).PUT(BodyPublishers.ofString("{}"));
            assertRefused(405, "METHOD_NOT_ALLOWED", put);
            assertRefused(405, "METHOD_NOT_ALLOWED", caller.as("south", REQUESTS).DELETE());
            assertRefused(404, "NOT_FOUND", caller.as("south", "/v2/requests").GET());
        }

        @Test
        void aFloodOfHeaders() {
            HttpRequest.Builder flood = submission(Requests.lookup(5).body());
            for (int i = 0; i < HEADERS; i++) {
                flood.header("X-Flood-" + i, "x".repeat(HEADER_CHARS));
            }
            assertRefused(431, "HEADERS_TOO_LARGE", flood);
        }

        private HttpRequest.Builder submission(String body) {
            return caller.as("south", REQUESTS).POST(BodyPublishers.ofString(body));
        }

        private HttpRequest.Builder submissionAs(String team, String workClass, String model) {
            String body =
                    String.format(
                            "{\"class\":\"%s\",\"model\":\"%s\",\"prompt\":[1],\"max_tokens\":5}",
                            workClass, model);
            return caller.as(team, REQUESTS).POST(BodyPublishers.ofString(body));
        }

        private void assertRefused(int status, String code, HttpRequest.Builder request) {
            CallerHttp.Answer answer = caller.send(CallerHttp.first(request));
            assertEquals(code, answer.code(), () -> answer.json().toString());
            assertEquals(status, answer.status());
            assertEquals("NOT_RUN", answer.verdict());
        }

        /** Checks the code alone, where nothing can be said about whether the request ran. */
        private int assertCode(String code, HttpRequest.Builder request) {
            CallerHttp.Answer answer = caller.send(request);
            assertEquals(code, answer.code(), () -> answer.json().toString());
            return answer.status();
        }
    }
}
