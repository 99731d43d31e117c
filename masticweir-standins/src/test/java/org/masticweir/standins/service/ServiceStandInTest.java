package org.masticweir.standins.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticweir.standins.http.TestClient;
import org.masticweir.time.Clock;

/** Tests the service stand-in over HTTP. */
@Timeout(30)
class ServiceStandInTest {
    private final ServiceStandIn service = start(5);
    private final TestClient client = new TestClient(service.address());

    private static ServiceStandIn start(long serviceMs) {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        return ServiceStandIn.start(new ServiceSettings(any, "s1", serviceMs, 1), Clock.system());
    }

    @AfterEach
    void close() {
        service.close();
    }

    private static CompletableFuture<HttpResponse<String>> call(TestClient client, String id) {
        HttpRequest request =
                client.request("/call")
                        .header("Masticweir-Request", id)
                        .POST(HttpRequest.BodyPublishers.ofString("input"))
                        .build();
        return client.send(request);
    }

    private static JsonNode calls(TestClient client) {
        return client.json("/control/records").path("calls");
    }

    /** Calls to a service without faults. */
    @Nested
    class Calls {
        @Test
        void answerNamesRequestAndInput() {
            assertEquals("done:r1:input", TestClient.join(call(client, "r1")).body());
            assertEquals("r1", calls(client).get(0).path("request").asText());
        }

        @Test
        void callIsRecordedBeforeItsAnswerAndFillsTheService() {
            try (ServiceStandIn slow = start(600_000)) {
                TestClient caller = new TestClient(slow.address());
                CompletableFuture<HttpResponse<String>> first = call(caller, "r1");
                TestClient.await(() -> calls(caller).size() == 1);
                assertFalse(first.isDone());
                assertEquals(1, caller.json("/v1/state").path("running").asInt());
                assertEquals(429, TestClient.join(call(caller, "r2")).statusCode());
                assertEquals(1, calls(caller).size());
            }
        }
    }

    /** Faults set by the control interface. */
    @Nested
    class Faulty {
        @Test
        void refusedCallIsNotRun() {
            client.post("/control", "{\"refuse_ms\":600000}");
            assertEquals(503, TestClient.join(call(client, "r1")).statusCode());
            assertEquals(0, calls(client).size());
        }

        /**
         * A caller sees its connection close and cannot tell whether its letter went out. It did:
         * the call ran, and only the answer was lost.
         */
        @Test
        void lostAnswerHasRun() {
            client.post("/control", "{\"lose_answers\":1}");
            assertThrows(CompletionException.class, () -> TestClient.join(call(client, "r1")));
            assertEquals("r1", calls(client).get(0).path("request").asText());
            assertEquals(200, TestClient.join(call(client, "r2")).statusCode());
        }

        @Test
        void pausedServiceRunsCallsOnlyAfterwards() {
            client.post("/control", "{\"pause_ms\":600000}");
            CompletableFuture<HttpResponse<String>> held = call(client, "r1");
            assertEquals(0, calls(client).size());
            client.post("/control", "{\"pause_ms\":0}");
            assertEquals(200, TestClient.join(held).statusCode());
            assertEquals(1, calls(client).size());
        }
    }
}
