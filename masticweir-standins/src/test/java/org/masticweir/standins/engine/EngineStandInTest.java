package org.masticweir.standins.engine;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticweir.standins.http.TestClient;
import org.masticweir.time.Clock;

/** Tests the engine stand-in over HTTP. */
@Timeout(30)
class EngineStandInTest {
    private static final String START = "/v1/generations";
    private static final int LONG = 100_000;

    private final EngineStandIn engine = start("--step-ms", "2", "--step-per-sequence-us", "0");
    private final TestClient client = new TestClient(engine.address());

    private static EngineStandIn start(String... flags) {
        return EngineStandIn.start(EngineParts.settings(flags), Clock.system());
    }

    @AfterEach
    void close() {
        engine.close();
    }

    private List<JsonNode> run(String body) {
        return frames(client.post(START, body).body());
    }

    private static List<JsonNode> frames(String body) {
        return body.lines().map(TestClient::parse).toList();
    }

    private static List<Integer> tokens(List<JsonNode> frames) {
        return frames.stream()
                .flatMap(frame -> Streams.stream(frame.path("tokens")))
                .map(JsonNode::asInt)
                .toList();
    }

    private static List<Integer> expected(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> TokenSource.token(42, i)).toList();
    }

    private static String attempt(String id, int attempt, int maxTokens) {
        return EngineParts.body(id, attempt, ImmutableList.of(), maxTokens);
    }

    /** Starts a long generation and returns its lines, of which the start frame is read. */
    private Iterator<String> open(String id, int attempt) {
        Stream<String> lines = client.lines(client.posting(START, attempt(id, attempt, LONG)));
        Iterator<String> iterator = lines.iterator();
        assertEquals("start", TestClient.parse(iterator.next()).path("type").asText());
        return iterator;
    }

    private static void assertCut(Iterator<String> lines) {
        assertThrows(
                RuntimeException.class,
                () -> lines.forEachRemaining(line -> assertFalse(line.contains("\"end\""))));
    }

    private int next(String id) {
        return client.json(START + "/" + id + "/1/status").path("next").asInt();
    }

    private void control(String body) {
        assertEquals(200, client.post("/control", body).statusCode());
    }

    /** Streams, re-reads, later attempts and cancellation. */
    @Nested
    class Streaming {
        @Test
        void wholeAnswerGoesOnAfterThePrefix() {
            List<JsonNode> frames = run(EngineParts.body("a", 1, ImmutableList.of(901, 902), 20));
            assertEquals(2, frames.get(0).path("first").asInt());
            assertEquals(expected(2, 20), tokens(frames));
            JsonNode end = frames.get(frames.size() - 1);
            assertEquals("end", end.path("type").asText());
            assertEquals(20, end.path("index").asInt());
            JsonNode records = client.json("/control/records");
            assertEquals(18, records.path("generations").get(0).path("produced").asInt());
            assertEquals(4, records.path("prefill_tokens").asInt());
            assertEquals(18, records.path("decode_tokens").asInt());
        }

        @Test
        void finishedAnswerIsReadAgainFromAnyToken() {
            run(attempt("a", 1, 20));
            String path = START + "/a/1?attempt=2&from=";
            assertEquals(expected(5, 20), tokens(frames(client.get(path + 5).body())));
            assertEquals(400, client.get(path + 21).statusCode());
            assertEquals("done", client.json(START + "/a/1/status").path("state").asText());
        }

        @Test
        void laterReaderSupersedesTheEarlierOne() {
            Iterator<String> older = open("a", 1);
            Stream<String> newer =
                    client.lines(client.request(START + "/a/1?from=3&attempt=2").build());
            Iterator<String> lines = newer.iterator();
            assertEquals(3, TestClient.parse(lines.next()).path("first").asInt());
            assertCut(older);
            assertEquals(409, client.get(START + "/a/1?from=0&attempt=1").statusCode());
            assertTrue(lines.hasNext());
        }

        @Test
        void laterAttemptReplacesTheRunOfAnEarlierOne() {
            Iterator<String> older = open("a", 1);
            assertEquals(409, client.post(START, attempt("a", 1, 5)).statusCode());
            assertEquals(expected(0, 5), tokens(run(attempt("a", 2, 5))));
            assertCut(older);
            JsonNode runs = client.json("/control/records").path("generations");
            assertEquals(2, runs.size());
            assertTrue(runs.get(0).path("cancelled").asBoolean());
        }

        @Test
        void cancelStopsARunUnlessALaterAttemptHasIt() {
            Iterator<String> lines = open("a", 3);
            assertEquals(404, client.delete(START + "/a/1?attempt=2").statusCode());
            assertEquals(200, client.delete(START + "/a/1?attempt=3").statusCode());
            assertCut(lines);
            assertEquals(404, client.get(START + "/a/1/status").statusCode());
        }
    }

    /** Work and orders that an engine refuses. */
    @Nested
    class Refusing {
        @Test
        void unknownModelIsNotAdmitted() {
            String body = attempt("a", 1, 5).replace("report", "other");
            HttpResponse<String> answer = client.post(START, body);
            assertEquals(404, answer.statusCode());
            assertEquals("UNKNOWN_MODEL", TestClient.parse(answer.body()).path("code").asText());
            assertFalse(TestClient.parse(answer.body()).path("admitted").asBoolean(true));
        }

        @Test
        void fullEngineIsOverloadedAndRecordsNothing() {
            try (EngineStandIn small = start("--max-batch", "1", "--max-waiting", "0")) {
                TestClient caller = new TestClient(small.address());
                String first = attempt("a", 1, LONG);
                assertTrue(caller.lines(caller.posting(START, first)).iterator().hasNext());
                assertEquals(429, caller.post(START, attempt("b", 1, 5)).statusCode());
                assertEquals(1, caller.json("/control/records").path("generations").size());
            }
        }

        @Test
        void oldFencingIsAnsweredWithTheHighest() {
            String order = "{\"fencing\":%d,\"kind\":\"leave\"}";
            assertEquals(200, client.post("/v1/orders", order.formatted(9)).statusCode());
            HttpResponse<String> old = client.post("/v1/orders", order.formatted(8));
            assertEquals(409, old.statusCode());
            assertEquals(9, TestClient.parse(old.body()).path("highest").asInt());
            assertEquals("leaving", client.json("/v1/orders").path("role").asText());
        }

        @Test
        void malformedBodiesAreBadRequests() {
            assertEquals(400, client.post(START, "{").statusCode());
            assertEquals(400, client.post(START, "{\"request\":\"a\"}").statusCode());
            assertEquals(400, client.post("/control", "{\"pause\":1}").statusCode());
        }
    }

    /** Load reports in the vendor's shape. */
    @Nested
    class Reporting {
        @Test
        void sharesVendorReportsSharesOnceTheLagIsOver() {
            try (EngineStandIn shares = start("--vendor", "shares", "--load-lag-ms", "1")) {
                TestClient caller = new TestClient(shares.address());
                Iterator<String> lines =
                        caller.lines(caller.posting(START, attempt("a", 1, LONG))).iterator();
                assertTrue(lines.hasNext());
                TestClient.await(
                        () -> caller.json("/v1/state").path("batch_fill").asDouble() == 1.0 / 16);
                assertEquals(16, caller.json("/v1/state").path("slots").asInt());
            }
        }
    }

    /** Faults set by the control interface. */
    @Nested
    class Faulty {
        /**
         * A router sees an engine go silent: probes hang, streams stand still, no error comes.
         * After the pause everything goes on where it was, as with a process that was stopped and
         * continued.
         */
        @Test
        void pauseFreezesAllButControl() {
            open("a", 1);
            control("{\"pause_ms\":600000}");
            CompletableFuture<HttpResponse<String>> probe =
                    client.send(client.request("/v1/health").build());
            JsonNode before = client.json("/control/records");
            for (int i = 0; i < 20; i++) {
                assertEquals(before, client.json("/control/records"));
            }
            assertFalse(probe.isDone());
            control("{\"pause_ms\":0}");
            assertEquals(200, TestClient.join(probe).statusCode());
            int reached = next("a");
            TestClient.await(() -> next("a") > reached);
        }

        @Test
        void droppedStreamGoesOnAndIsReadAgain() {
            Iterator<String> lines = open("a", 1);
            control("{\"drop_streams\":true}");
            assertCut(lines);
            int reached = next("a");
            TestClient.await(() -> next("a") > reached);
            Iterator<String> again =
                    client.lines(client.request(START + "/a/1?from=0&attempt=2").build())
                            .iterator();
            again.next();
            JsonNode frame = TestClient.parse(again.next());
            assertEquals(TokenSource.token(42, 0), frame.path("tokens").get(0).asInt());
        }

        @Test
        void streamWithoutReaderIsForgottenAfterTheKeepTime() {
            try (EngineStandIn brief = start("--keep-ms", "50", "--step-ms", "2")) {
                TestClient caller = new TestClient(brief.address());
                caller.post(START, attempt("a", 1, 3));
                TestClient.await(() -> caller.get(START + "/a/1/status").statusCode() == 404);
            }
        }

        @Test
        void wrongGenerationShowsInNumberAndTokens() {
            control("{\"wrong_resume\":\"generation\"}");
            assertEquals(expected(0, 4), tokens(run(attempt("a", 1, 4))));
            List<JsonNode> frames = run(EngineParts.body("b", 1, ImmutableList.of(1, 2), 4));
            assertEquals(2, frames.get(0).path("generation").asInt());
            assertEquals(TokenSource.token(43, 2), tokens(frames).get(0));
        }

        @Test
        void wrongIndexSkipsAToken() {
            control("{\"wrong_resume\":\"index\"}");
            List<JsonNode> frames = run(EngineParts.body("b", 1, ImmutableList.of(1, 2), 6));
            assertEquals(3, frames.get(0).path("first").asInt());
            assertEquals(expected(3, 6), tokens(frames));
        }

        /** A router sees a stream go silent while its engine answers probes, and go on later. */
        @Test
        void silenceHoldsBackStreamsOnly() {
            Iterator<String> lines = open("a", 1);
            control("{\"silence_ms\":600000}");
            CompletableFuture<HttpResponse<String>> answer =
                    client.send(client.posting(START, attempt("b", 1, 5)));
            TestClient.await(() -> client.get(START + "/b/1/status").body().contains("\"done\""));
            assertEquals(200, client.get("/v1/health").statusCode());
            assertFalse(answer.isDone());
            control("{\"silence_ms\":0}");
            assertEquals(expected(0, 5), tokens(frames(TestClient.join(answer).body())));
            assertTrue(lines.hasNext());
        }

        @Test
        void silenceEndsWithItsTime() {
            // The silence begins before the answer to the order for it.
            long start = Clock.system().nowMs();
            control("{\"silence_ms\":400}");
            assertEquals(expected(0, 5), tokens(run(attempt("a", 1, 5))));
            assertTrue(Clock.system().nowMs() - start >= 400);
        }

        @Test
        void unframedStreamEndsWithItsConnection() throws Exception {
            control("{\"unframed\":true}");
            String body = attempt("a", 1, 5);
            try (Socket socket = new Socket("127.0.0.1", engine.address().getPort())) {
                String head =
                        "POST /v1/generations HTTP/1.1\r\nHost: e1\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(US_ASCII));
                String answer = new String(socket.getInputStream().readAllBytes(), US_ASCII);
                int end = answer.indexOf("\r\n\r\n");
                String fields = Ascii.toLowerCase(answer.substring(0, end));
                assertFalse(fields.contains("content-length"), fields);
                assertFalse(fields.contains("transfer-encoding"), fields);
                assertEquals(expected(0, 5), tokens(frames(answer.substring(end).strip())));
            }
        }

        /** The process ends on the whole part only; the end itself is left out here. */
        @Test
        void promptEndsTheProcessIfItHoldsThePart() {
            Faults faults = Faults.none(Clock.system());
            faults.apply(ending(List.of(2, 3), null));
            assertTrue(faults.endsOn(List.of(1, 2, 3, 4)));
            assertFalse(faults.endsOn(List.of(2, 1, 3)));
            faults.apply(ending(null, 7));
            assertTrue(faults.endsOn(List.of(1, 7)));
            assertFalse(faults.endsOn(List.of(2, 3)));
        }

        private static ControlRequest ending(List<Integer> part, Integer token) {
            return ControlRequest.of(
                    new ControlRequest.Fields(
                            null, null, null, null, null, token, part, null, null, null));
        }

        @Test
        void refusalEndsWithItsTime() {
            control("{\"refuse_ms\":600000}");
            assertEquals(503, client.post(START, attempt("a", 1, 4)).statusCode());
            control("{\"refuse_ms\":0}");
            assertEquals(200, client.post(START, attempt("a", 1, 4)).statusCode());
        }

        @Test
        void slowFactorStretchesTheSteps() {
            control("{\"slow_factor\":50}");
            long start = Clock.system().nowMs();
            run(attempt("a", 1, 3));
            assertTrue(Clock.system().nowMs() - start >= 2 * 100);
        }
    }
}
