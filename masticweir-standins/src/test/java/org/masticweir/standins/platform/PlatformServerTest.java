package org.masticweir.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticweir.time.ManualClock;

/** Calls a platform stand-in over loopback HTTP; its clock moves by hand. */
@Timeout(20)
class PlatformServerTest {
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final String ENGINE =
            "{\"id\":\"e1\",\"kind\":\"engine\",\"group\":\"g\",\"domain\":\"d1\","
                    + "\"address\":\"127.0.0.1:1\",\"state\":\"live\"}";

    private final ManualClock clock = ManualClock.startingAt(1000);
    private final HttpClient client = HttpClient.newHttpClient();
    private PlatformServer server;

    @BeforeEach
    void start() {
        server = PlatformServer.start(new PlatformSettings(ANY, 500, 0, 2, 1, 300), clock);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    /** Transactions, reads and scans. */
    @Nested
    class Tables {
        @Test
        void transactionAppliesWholeOrNotAtAll() throws Exception {
            assertEquals(1, put("a", "x", 0).json().get("revision").asLong());
            Reply refused =
                    post(
                            "/tables/txn",
                            "{\"checks\":[{\"table\":\"t\",\"key\":\"a\",\"revision\":9},"
                                    + "{\"table\":\"t\",\"key\":\"b\",\"revision\":4}],"
                                    + "\"puts\":[{\"table\":\"t\",\"key\":\"c\",\"value\":\"y\"}]}");
            assertEquals(409, refused.status());
            assertEquals(
                    "{\"conflicts\":[{\"table\":\"t\",\"key\":\"a\",\"revision\":1,\"value\":\"x\"},"
                            + "{\"table\":\"t\",\"key\":\"b\",\"revision\":0,\"value\":null}]}",
                    refused.body());
            assertEquals(404, call("GET", "/tables/t/c", "").status());
            assertEquals(1, records().get("rows").asInt());
            assertEquals(1, records().get("conflicts").asInt());
        }

        @Test
        void oneOfManyRacingWritersWins() throws Exception {
            List<CompletableFuture<HttpResponse<String>>> racers = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                racers.add(
                        client.sendAsync(
                                request("POST", "/tables/txn", txn("k", "w" + i, 0)),
                                HttpResponse.BodyHandlers.ofString()));
            }
            long won = racers.stream().filter(r -> r.join().statusCode() == 200).count();
            assertEquals(1, won);
        }

        @Test
        void keysMayHoldSlashesAndScansAreInKeyOrder() throws Exception {
            put("b/2", "two", 0);
            put("a/1", "one", 0);
            put("c+ 3", "three", 0);
            assertEquals(
                    "{\"value\":\"two\",\"revision\":1}",
                    call("GET", "/tables/t/b%2F2", "").body());
            JsonNode rows = call("GET", "/tables/t?after=a%2F1&limit=5", "").json().get("rows");
            assertEquals(List.of("b/2", "c+ 3"), rows.findValuesAsText("key"));
        }

        @Test
        void readsOverTheLimitAreRefusedUntilTheTimeTold() throws Exception {
            call("GET", "/tables/t/a", "");
            call("GET", "/tables/t/a", "");
            Reply refused = call("GET", "/tables/t/a", "");
            assertEquals(429, refused.status());
            assertEquals("{\"retry_after_ms\":500}", refused.body());
            clock.advanceMs(500);
            assertEquals(404, call("GET", "/tables/t/a", "").status());
            assertEquals(3, records().get("reads").asInt());
        }

        @Test
        void malformedTransactionIsRefused() throws Exception {
            assertEquals(400, post("/tables/txn", "{\"putz\":[]}").status());
            assertEquals(400, post("/tables/txn", "").status());
        }
    }

    /** Instance list, objects and weights. */
    @Nested
    class Others {
        @Test
        void instanceShowsAfterTheLag() throws Exception {
            assertEquals(200, call("PUT", "/instances/e1", ENGINE).status());
            clock.advanceMs(499);
            assertEquals("{\"instances\":[]}", call("GET", "/instances", "").body());
            clock.advanceMs(1);
            assertEquals("{\"instances\":[" + ENGINE + "]}", call("GET", "/instances", "").body());
            call("DELETE", "/instances/e1", "");
            post("/control", "{\"list_lag_ms\":0}");
            assertEquals("{\"instances\":[]}", call("GET", "/instances", "").body());
        }

        @Test
        void objectReadsBack() throws Exception {
            call("PUT", "/objects/a%2Fb", "bytes");
            assertEquals("bytes", call("GET", "/objects/a%2Fb", "").body());
            assertEquals(404, call("GET", "/objects/none", "").status());
        }

        @Test
        void weightsComeLateAndNotOverTheRate() throws Exception {
            String body = "{\"model\":\"m\",\"version\":\"3\",\"engine\":\"e1\"}";
            long began = System.nanoTime();
            assertEquals(200, post("/weights/fetch", body).status());
            assertTrue(System.nanoTime() - began >= Duration.ofMillis(300).toNanos());
            assertEquals("{\"retry_after_ms\":1000}", post("/weights/fetch", body).body());
            assertEquals(1, records().get("weight_fetches").size());
        }

        @Test
        void loadTimeCanBeSetAndIsRecorded() throws Exception {
            post("/control", "{\"load_ms\":7}");
            post("/weights/fetch", "{\"model\":\"m\",\"version\":\"3\",\"engine\":\"e1\"}");
            JsonNode fetch = records().get("weight_fetches").get(0);
            assertEquals(7, fetch.get("ends_at_ms").asLong() - fetch.get("at_ms").asLong());
            assertEquals(400, post("/control", "{\"load_ms\":-1}").status());
        }
    }

    /** The faults that tests set. */
    @Nested
    class Failures {
        /**
         * A writer's transaction takes effect but its answer never comes. It sees a closed
         * connection and cannot tell; the row says that the write happened. The next transaction is
         * answered.
         */
        @Test
        void lostAnswerLeavesTheWriteInForce() throws Exception {
            post("/control", "{\"lose_answers\":1}");
            assertThrows(IOException.class, () -> put("a", "x", 0));
            assertEquals("{\"value\":\"x\",\"revision\":1}", call("GET", "/tables/t/a", "").body());
            assertEquals(200, put("a", "y", 1).status());
            assertEquals(1, records().get("lost_answers").asInt());
        }

        /**
         * Only a configuration write is to lose its answer. A write to another table comes first
         * and is answered; the next write to the named one is not. Before the fault could name a
         * table, a lease's renewal used it up and the change met no fault.
         */
        @Test
        void lostAnswerOfATableLeavesOthersAnswered() throws Exception {
            post("/control", "{\"lose_answers\":1,\"lose_answers_table\":\"config\"}");
            assertEquals(200, put("a", "x", 0).status());
            assertEquals(0, records().get("lost_answers").asInt());
            String write = "{\"puts\":[{\"table\":\"config\",\"key\":\"k\",\"value\":\"v\"}]}";
            assertThrows(IOException.class, () -> post("/tables/txn", write));
            assertEquals(1, records().get("lost_answers").asInt());
            assertEquals(200, put("a", "y", 1).status());
        }

        /**
         * The platform goes away for a while. Every caller's connection is closed without an answer
         * and no write takes effect; when the time is over calls are answered again.
         */
        @Test
        void outageClosesAllButControl() throws Exception {
            post("/control", "{\"outage_ms\":700}");
            assertThrows(IOException.class, () -> put("a", "x", 0));
            assertThrows(IOException.class, () -> call("GET", "/instances", ""));
            assertEquals(0, records().get("writes").asInt());
            clock.advanceMs(700);
            assertEquals(200, put("a", "x", 0).status());
        }

        /** The platform is slow. Many callers wait at once, and all wait the same time. */
        @Test
        void slowAnswersDoNotHoldUpOneAnother() throws Exception {
            post("/control", "{\"slow_ms\":300}");
            long began = System.nanoTime();
            List<CompletableFuture<HttpResponse<String>>> waiting = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                waiting.add(
                        client.sendAsync(
                                request("GET", "/instances", ""),
                                HttpResponse.BodyHandlers.ofString()));
            }
            waiting.forEach(CompletableFuture::join);
            Duration took = Duration.ofNanos(System.nanoTime() - began);
            assertTrue(took.toMillis() >= 300 && took.toMillis() < 5000, took.toString());
        }

        @Test
        void portInUseIsAnArgumentError() {
            PlatformSettings again = new PlatformSettings(server.address(), 0, 0, 0, 0, 0);
            assertThrows(IllegalArgumentException.class, () -> PlatformServer.start(again, clock));
        }
    }

    private Reply put(String key, String value, long revision) throws Exception {
        return post("/tables/txn", txn(key, value, revision));
    }

    private static String txn(String key, String value, long revision) {
        return String.format(
                "{\"checks\":[{\"table\":\"t\",\"key\":\"%1$s\",\"revision\":%3$d}],"
                        + "\"puts\":[{\"table\":\"t\",\"key\":\"%1$s\",\"value\":\"%2$s\"}]}",
                key, value, revision);
    }

    private JsonNode records() throws Exception {
        return call("GET", "/control/records", "").json();
    }

    private Reply post(String path, String body) throws Exception {
        return call("POST", path, body);
    }

    private Reply call(String method, String path, String body) throws Exception {
        HttpResponse<String> response =
                client.send(request(method, path, body), HttpResponse.BodyHandlers.ofString());
        return new Reply(response.statusCode(), response.body());
    }

    private HttpRequest request(String method, String path, String body) {
        URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + path);
        return HttpRequest.newBuilder(uri)
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(Duration.ofSeconds(10))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private record Reply(int status, String body) {
        JsonNode json() throws IOException {
            return new ObjectMapper().readTree(body);
        }
    }
}
