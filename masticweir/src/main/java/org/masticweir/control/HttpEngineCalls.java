package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticweir.http.HttpAnswer;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;

/** Orders over HTTP; thread-safe. */
final class HttpEngineCalls implements EngineCalls {
    private static final String PATH = "/v1/orders";
    private static final int FIRST_REFUSAL = 400;
    private static final int LAST_REFUSAL = 499;
    private static final int UNAVAILABLE = 503;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpCaller calls;
    private final long timeoutMs;

    private HttpEngineCalls(HttpCaller calls, long timeoutMs) {
        this.calls = checkNotNull(calls, "calls");
        this.timeoutMs = timeoutMs;
    }

    static HttpEngineCalls over(HttpCaller calls, long timeoutMs) {
        return new HttpEngineCalls(calls, timeoutMs);
    }

    @Override
    public CompletableFuture<Optional<EngineHoldings>> readBack(InetSocketAddress engine) {
        return calls.call(HttpCall.get(engine, PATH), timeoutMs)
                .thenApply(HttpEngineCalls::holdings);
    }

    @Override
    public CompletableFuture<SendOutcome> send(InetSocketAddress engine, Order order) {
        return calls.call(HttpCall.postJson(engine, PATH, order.encode()), timeoutMs)
                .thenApply(HttpEngineCalls::sent);
    }

    private static Optional<EngineHoldings> holdings(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered a) || !a.answer().isSuccess()) {
            return Optional.empty();
        }
        try {
            return Optional.of(EngineHoldings.decode(json(a.answer())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static SendOutcome sent(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered a) {
            return answered(a.answer());
        }
        return outcome instanceof HttpOutcome.NeverSent
                ? SendOutcome.NOT_DONE
                : SendOutcome.UNKNOWN;
    }

    /** An answer that is neither a success nor a refusal says nothing about the effect. */
    private static SendOutcome answered(HttpAnswer answer) {
        JsonNode body = json(answer);
        if (answer.isSuccess()) {
            return body.path("applied").asBoolean() ? SendOutcome.APPLIED : SendOutcome.UNKNOWN;
        }
        if (body.path("code").asText().equals("OLD_FENCING")) {
            return SendOutcome.OLD_FENCING;
        }
        int status = answer.status();
        boolean refused = status >= FIRST_REFUSAL && status <= LAST_REFUSAL;
        return refused || status == UNAVAILABLE ? SendOutcome.NOT_DONE : SendOutcome.UNKNOWN;
    }

    private static JsonNode json(HttpAnswer answer) {
        try {
            return MAPPER.readTree(answer.text());
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }
}
