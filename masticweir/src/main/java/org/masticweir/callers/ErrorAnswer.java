package org.masticweir.callers;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Submission;
import org.masticweir.error.Verdict;

/** Writes the error object that every failed call ends with. */
public final class ErrorAnswer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MS_PER_S = 1_000;

    private ErrorAnswer() {}

    /** Ends the exchange with {@code error}, its status and, when set, {@code Retry-After}. */
    public static void send(HttpServerExchange exchange, MasticweirException error) {
        if (exchange.isResponseStarted()) {
            exchange.endExchange();
            return;
        }
        exchange.setStatusCode(error.code().httpStatus());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        error.retryAfterMs()
                .ifPresent(
                        ms ->
                                exchange.getResponseHeaders()
                                        .put(Headers.RETRY_AFTER, (ms + MS_PER_S - 1) / MS_PER_S));
        exchange.getResponseSender().send(json(error), StandardCharsets.UTF_8);
    }

    /** Returns the error as a JSON object. */
    static String json(MasticweirException error) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("code", error.code().name());
        node.put("verdict", error.verdict().name());
        if (error.submission() == Submission.NOT_SENT && error.verdict() != Verdict.NOT_RUN) {
            // Else the verdict says it.
            node.put("submission", error.submission().name());
        }
        node.put("message", error.getMessage());
        error.retryAfterMs().ifPresent(ms -> node.put("retry_after_ms", ms));
        return node.toString();
    }
}
