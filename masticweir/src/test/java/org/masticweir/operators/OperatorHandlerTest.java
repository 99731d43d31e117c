package org.masticweir.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.primitives.ImmutableIntArray;
import io.undertow.Undertow;
import java.io.ByteArrayInputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.metrics.MetricsPage;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.InFlight;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.routing.SpeedEstimate;
import org.masticweir.serving.RequestRegistry;
import org.masticweir.time.ManualClock;

/** The operators' interface over real sockets. */
class OperatorHandlerTest {
    private static final int MAX_BODY_BYTES = 300;
    private static final String PROPOSAL =
            "{\"base_revision\":4,\"change_id\":\"c5\",\"author\":\"an\",\"document\":\"[x]\"}";

    private final ManualClock clock = ManualClock.startingAt(0);
    private final MetricRegistry metrics = new MetricRegistry();
    private final RequestRegistry registry = RequestRegistry.holding(2_000);
    private final InFlight inFlight = InFlight.create();
    private final AtomicInteger drains = new AtomicInteger();
    private final Router router = new Router();
    private RoutingSnapshot routing = RoutingSnapshot.empty();
    private CompletableFuture<ProposalAnswer> proposal = new CompletableFuture<>();
    private Undertow server;

    @BeforeEach
    void start() {
        server = serve(new OperatorLimits(MAX_BODY_BYTES, 5_000));
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private Undertow serve(OperatorLimits limits) {
        OperatorHandler handler =
                OperatorHandler.of(
                        router, router, MetricsPage.of(metrics), limits, OperatorAccess.open());
        Undertow built = Undertow.builder().addHttpListener(0, "127.0.0.1", handler).build();
        built.start();
        return built;
    }

    private HttpResponse<String> call(String method, String path, String body) throws Exception {
        return send(method, path, BodyPublishers.ofString(body));
    }

    private HttpResponse<String> send(String method, String path, BodyPublisher body)
            throws Exception {
        int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .method(method, body)
                        .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    private void assertCall(int status, String json, String method, String path, String body)
            throws Exception {
        HttpResponse<String> answer = call(method, path, body);
        assertEquals(json, answer.body());
        assertEquals(status, answer.statusCode());
        assertEquals("application/json", answer.headers().firstValue("Content-Type").orElse(""));
    }

    private void assertError(ErrorCode code, String method, String path, String body)
            throws Exception {
        HttpResponse<String> answer = call(method, path, body);
        assertEquals(code.httpStatus(), answer.statusCode());
        assertEquals(code.name(), new ObjectMapper().readTree(answer.body()).get("code").asText());
    }

    private RequestSpec spec(int number) {
        return new RequestSpec(
                RequestId.of("r" + number),
                TeamId.of("t"),
                WorkClassId.of("reports"),
                ModelId.of("m"),
                true,
                ImmutableIntArray.of(),
                "",
                9,
                false);
    }

    /** What can be read. */
    @Nested
    class Queries {
        @Test
        void status() throws Exception {
            String json =
                    "{\"router\":\"a\",\"domain\":\"d1\",\"state\":\"starting\","
                            + "\"config_revision\":4,\"requests\":0,\"peers\":[{\"router\":\"b\","
                            + "\"domain\":\"d2\",\"state\":\"serving\",\"config_revision\":3}],"
                            + "\"platform\":\"unreachable\"}";
            assertCall(200, json, "GET", "/v1/status", "");
        }

        @Test
        void engineOfTwoModelsIsListedOnce() throws Exception {
            BackEnd backEnd =
                    new BackEnd(
                            EngineId.of("e1"),
                            new InetSocketAddress("10.0.0.1", 81),
                            DomainId.of("d1"),
                            "g",
                            true);
            RoutingSnapshot.Builder builder = RoutingSnapshot.builder(DomainId.of("d1"), 0);
            for (String model : List.of("m1", "m2")) {
                builder.add(
                        EngineView.of(
                                backEnd,
                                ModelId.of(model),
                                "1",
                                LoadReport.of(3, 1, 16),
                                0,
                                SpeedEstimate.of(1, 1, 0, 0)));
            }
            routing = builder.build();
            inFlight.sent(EngineId.of("e1"), 0);
            String json =
                    "{\"engines\":[{\"id\":\"e1\",\"domain\":\"d1\",\"group\":\"g\","
                            + "\"address\":\"10.0.0.1:81\",\"state\":\"leaving\",\"running\":3,"
                            + "\"waiting\":1,\"capacity\":16,\"own_sends\":1}]}";
            assertCall(200, json, "GET", "/v1/engines", "");
        }

        @Test
        void openRequestsComeBeforeEndedOnes() throws Exception {
            registry.admit(spec(1), 0).request().log().finish(new AnswerEnd.Completed(""));
            registry.admit(spec(2), 0);
            clock.advanceMs(70);
            String row =
                    "{\"id\":\"r%d\",\"team\":\"t\",\"class\":\"reports\",\"model\":\"m\","
                            + "\"engine\":\"\",\"generation\":1,\"attempt\":0,\"tokens\":0,"
                            + "\"state\":\"%s\",\"age_ms\":70}";
            String json =
                    "{\"requests\":["
                            + row.formatted(2, "waiting")
                            + ","
                            + row.formatted(1, "completed")
                            + "]}";
            assertCall(200, json, "GET", "/v1/requests", "");
        }

        @Test
        void listOfRequestsIsBounded() {
            for (int i = 0; i <= RequestQueries.MAX_LISTED; i++) {
                registry.admit(spec(i), 0);
            }
            assertEquals(RequestQueries.MAX_LISTED, router.requests().requests().size());
        }

        @Test
        void configHistoryAndMetrics() throws Exception {
            metrics.counter("c").inc();
            assertCall(
                    200,
                    "{\"revision\":4,\"change_id\":\"c4\",\"document\":\"[x]\\n\"}",
                    "GET",
                    "/v1/config",
                    "");
            assertCall(
                    200,
                    "{\"counters\":{\"c\":1},\"gauges\":{},\"histograms\":{}}",
                    "GET",
                    "/metrics",
                    "");
            assertError(ErrorCode.PLATFORM_UNAVAILABLE, "GET", "/v1/config/history", "");
        }
    }

    /** What can be changed. */
    @Nested
    class Commands {
        @Test
        void proposalIsAnswered() throws Exception {
            proposal.complete(
                    new ProposalAnswer(
                            ProposalAnswer.Outcome.PENDING,
                            5,
                            List.of(new ProposalAnswer.DomainHold(DomainId.of("d1"), true))));
            String json =
                    "{\"outcome\":\"pending\",\"revision\":5,"
                            + "\"domains\":[{\"domain\":\"d1\",\"holds\":true}]}";
            assertCall(200, json, "POST", "/v1/config", PROPOSAL);
        }

        @Test
        void conflictNamesTheOtherChange() throws Exception {
            proposal.completeExceptionally(
                    MasticweirException.notRun(ErrorCode.CONFLICT, "c9 by bo is at revision 5"));
            String json =
                    "{\"code\":\"CONFLICT\",\"verdict\":\"NOT_RUN\","
                            + "\"message\":\"c9 by bo is at revision 5\"}";
            assertCall(409, json, "POST", "/v1/config", PROPOSAL);
        }

        @Test
        void badBodiesAreRefused() throws Exception {
            assertError(ErrorCode.BAD_REQUEST, "POST", "/v1/config", "");
            assertError(ErrorCode.BAD_REQUEST, "POST", "/v1/config", "{\"change_id\":\"c\"}");
            assertError(ErrorCode.BAD_REQUEST, "POST", "/v1/config", "null");
            String blank = " ".repeat(MAX_BODY_BYTES + 1);
            assertError(ErrorCode.BODY_TOO_LARGE, "POST", "/v1/config", blank);
        }

        /**
         * A body comes in chunks and never says how long it is. Bounded only by its announced
         * length, it would fill the router's memory and take all requests down with it.
         */
        @Test
        void bodyOfUnknownLengthIsBounded() throws Exception {
            byte[] blank = " ".repeat(MAX_BODY_BYTES + 1).getBytes(StandardCharsets.UTF_8);
            BodyPublisher chunked =
                    BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(blank));
            HttpResponse<String> answer = send("POST", "/v1/config", chunked);
            assertEquals(413, answer.statusCode(), answer.body());
        }

        /**
         * The platform takes a change and says nothing more. An operator who is left waiting cannot
         * tell whether to go home; the call ends at its bound and says the change may stand.
         */
        @Test
        void silentChangeEndsAtItsBound() throws Exception {
            server.stop();
            server = serve(new OperatorLimits(MAX_BODY_BYTES, 50));
            HttpResponse<String> answer = call("POST", "/v1/config", PROPOSAL);
            assertEquals(504, answer.statusCode());
            assertTrue(answer.body().contains(Verdict.MAY_HAVE_RUN.name()), answer.body());
        }

        @Test
        void drainIsTakenUp() throws Exception {
            assertCall(202, "{\"state\":\"draining\"}", "POST", "/v1/drain", "");
            assertEquals(1, drains.get());
        }
    }

    /** What is not there. */
    @Nested
    class Unknown {
        @Test
        void pathsAndMethods() throws Exception {
            assertError(ErrorCode.NOT_FOUND, "GET", "/v1/statuses", "");
            assertError(ErrorCode.METHOD_NOT_ALLOWED, "GET", "/v1/drain", "");
            HttpResponse<String> answer = call("DELETE", "/v1/config", "");
            assertEquals(405, answer.statusCode());
            assertEquals("GET, POST", answer.headers().firstValue("Allow").orElse(""));
            assertEquals(0, drains.get());
        }

        @Test
        void failureInsideIsNotShown() throws Exception {
            proposal.completeExceptionally(new IllegalStateException("secret"));
            HttpResponse<String> answer = call("POST", "/v1/config", PROPOSAL);
            assertEquals(500, answer.statusCode());
            assertTrue(answer.body().contains("internal error"), answer.body());
        }
    }

    /** A router whose answers the test sets. */
    private final class Router implements OperatorQueries, OperatorCommands {
        @Override
        public StatusAnswer status() {
            StatusAnswer.Peer peer =
                    new StatusAnswer.Peer(
                            RouterId.of("b"), DomainId.of("d2"), RouterState.SERVING, 3);
            return new StatusAnswer(
                    RouterId.of("a"),
                    DomainId.of("d1"),
                    RouterState.STARTING,
                    4,
                    registry.unfinished(),
                    List.of(peer),
                    StatusAnswer.PlatformState.UNREACHABLE);
        }

        @Override
        public EngineList engines() {
            return EngineQueries.of(() -> routing, inFlight).list();
        }

        @Override
        public RequestList requests() {
            return RequestQueries.of(registry, clock).list();
        }

        @Override
        public CompletableFuture<ConfigAnswer> config() {
            return CompletableFuture.completedFuture(new ConfigAnswer(4, "c4", "[x]\n"));
        }

        @Override
        public CompletableFuture<ConfigHistory> configHistory() {
            return CompletableFuture.failedFuture(
                    MasticweirException.causedBy(
                            ErrorCode.PLATFORM_UNAVAILABLE,
                            Verdict.NOT_RUN,
                            "table is away",
                            new IllegalStateException("inner")));
        }

        @Override
        public CompletableFuture<ProposalAnswer> propose(ConfigProposal proposed) {
            assertEquals(new ConfigProposal(4, "c5", "an", "[x]", false), proposed);
            return proposal;
        }

        @Override
        public void drain() {
            drains.incrementAndGet();
        }
    }
}
