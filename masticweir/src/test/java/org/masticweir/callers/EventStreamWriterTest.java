package org.masticweir.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.primitives.ImmutableIntArray;
import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.AnswerLog;

/**
 * Tests the head of a streamed answer.
 *
 * <p>The story of the refusal: the router is overloaded and refuses a request as it arrives; the
 * caller asked for a stream and sees status 200 with an error inside. Its client library and the
 * balancer, which go by the status and {@code Retry-After}, take that for an answer. The cause was
 * a head that went out before the admission had decided.
 */
class EventStreamWriterTest {
    private static final Duration BOUND = Duration.ofSeconds(10);
    private static final AnswerEnd REFUSED =
            new AnswerEnd.Failed(
                    MasticweirException.notRun(ErrorCode.OVERLOADED, "not admitted")
                            .retryAfterMs(1_200));

    private final AnswerLog log = new AnswerLog();
    private final AtomicBoolean sole = new AtomicBoolean(true);
    private final Undertow server =
            Undertow.builder()
                    .addHttpListener(0, "127.0.0.1")
                    .setHandler(
                            exchange ->
                                    exchange.dispatch(
                                            SameThreadExecutor.INSTANCE,
                                            () ->
                                                    new EventStreamWriter(
                                                                    exchange,
                                                                    log,
                                                                    KeyVerdict.soleIf(sole::get),
                                                                    Optional.empty(),
                                                                    false,
                                                                    BOUND.toMillis())
                                                            .start("r1")))
                    .build();

    EventStreamWriterTest() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private HttpResponse<InputStream> get() throws IOException, InterruptedException {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + "/"))
                        .timeout(BOUND)
                        .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofInputStream());
    }

    private static String text(HttpResponse<InputStream> answer) throws IOException {
        return new String(answer.body().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void ofARefusalOnArrivalTellsTheStatusAndWhenToReturn() throws Exception {
        log.finish(REFUSED);
        HttpResponse<InputStream> answer = get();
        assertEquals(503, answer.statusCode());
        assertEquals("2", answer.headers().firstValue("Retry-After").orElse(""));
        assertEquals("r1", answer.headers().firstValue("Masticweir-Request").orElse(""));
        String text = text(answer);
        assertTrue(text.contains("\"retry_after_ms\":1200"));
        assertTrue(text.contains("\"verdict\":\"NOT_RUN\""), text);
    }

    /**
     * The adviser's program submits a letter again after a lost connection and is refused; the
     * first submission runs elsewhere. Told NOT_RUN, the adviser would write the letter by hand.
     */
    @Test
    void ofARefusedSubmissionThatIsNotTheOnlyOneSaysNothingOfTheKey() throws Exception {
        sole.set(false);
        log.finish(REFUSED);
        HttpResponse<InputStream> answer = get();
        assertEquals(503, answer.statusCode());
        assertEquals("2", answer.headers().firstValue("Retry-After").orElse(""));
        String text = text(answer);
        assertTrue(text.contains("\"verdict\":\"MAY_HAVE_RUN\""), text);
        assertTrue(text.contains("\"submission\":\"NOT_SENT\""), text);
    }

    /** The second submission joins while the first one, which said that it is the first, waits. */
    @Test
    void aKeyThatGetsASecondSubmissionWhileItWaitsIsInDoubt() throws Exception {
        HttpResponse<InputStream> answer = get();
        sole.set(false);
        log.finish(REFUSED);
        String text = text(answer);
        assertTrue(text.contains("\"verdict\":\"MAY_HAVE_RUN\""), text);
        assertTrue(text.contains("\"submission\":\"NOT_SENT\""), text);
    }

    @Test
    void goesOutBeforeAnyTokenWhenNothingIsDecidedSoon() throws Exception {
        HttpResponse<InputStream> answer = get();
        assertEquals(200, answer.statusCode());
        log.finish(REFUSED);
        assertTrue(text(answer).contains("event: error"));
    }

    @Test
    void ofAStreamThatFailsAfterTokensIsThatOfAStream() throws Exception {
        log.startGeneration(1);
        log.append(0, ImmutableIntArray.of(7));
        log.releaseTo(1);
        log.finish(REFUSED);
        HttpResponse<InputStream> answer = get();
        assertEquals(200, answer.statusCode());
        String text = text(answer);
        assertTrue(text.contains("id: 1:0"), text);
        assertTrue(text.contains("event: error"), text);
    }
}
