package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.masticweir.engine.EngineClient;
import org.masticweir.http.HttpAnswer;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.AttemptId;
import org.masticweir.recovery.RecoveryEvent;

/** Asks an engine, cheaply, whether it lives and where a generation stands; thread-safe. */
final class EngineProbe {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpCaller calls;
    private final long timeoutMs;

    EngineProbe(HttpCaller calls, long timeoutMs) {
        this.calls = checkNotNull(calls, "calls");
        this.timeoutMs = timeoutMs;
    }

    /** Probes {@code attempt}'s generation; the future never fails. */
    CompletableFuture<RecoveryEvent> probe(InetSocketAddress address, AttemptId attempt) {
        String path = EngineClient.pathOf(attempt.generation()) + "/status";
        return calls.call(HttpCall.get(address, path), timeoutMs)
                .thenApply(outcome -> eventOf(outcome, attempt));
    }

    private static RecoveryEvent eventOf(HttpOutcome outcome, AttemptId attempt) {
        if (outcome.isWithheld()) {
            return new RecoveryEvent.ProbeWithheld(attempt);
        }
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return new RecoveryEvent.ProbeFailed(attempt);
        }
        HttpAnswer answer = answered.answer();
        if (answer.status() == StatusCodes.NOT_FOUND) {
            return new RecoveryEvent.ProbeUnknown(attempt);
        }
        if (!answer.isSuccess()) {
            return new RecoveryEvent.ProbeFailed(attempt);
        }
        try {
            JsonNode json = MAPPER.readTree(answer.text());
            return new RecoveryEvent.ProbeAnswered(attempt, json.path("next").asInt());
        } catch (JsonProcessingException e) {
            return new RecoveryEvent.ProbeFailed(attempt);
        }
    }
}
