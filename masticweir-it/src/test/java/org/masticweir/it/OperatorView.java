package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableSet;
import java.io.UncheckedIOException;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;

/** Reads what routers tell operators; thread-safe. */
final class OperatorView {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 3_000;

    private final HttpCaller calls;

    OperatorView(HttpCaller calls) {
        this.calls = checkNotNull(calls, "calls");
    }

    /** Returns the ids of the back ends to which {@code router} sends new work. */
    ImmutableSet<String> liveBackEnds(RouterProcess router) {
        ImmutableSet.Builder<String> live = ImmutableSet.builder();
        for (JsonNode engine : read(router, "/v1/engines").path("engines")) {
            if (engine.path("state").asText().equals("live")) {
                live.add(engine.path("id").asText());
            }
        }
        return live.build();
    }

    private JsonNode read(RouterProcess router, String path) {
        HttpCall call = HttpCall.get(router.operators(), path);
        HttpOutcome outcome = Await.get(path, calls.call(call, TIMEOUT_MS), 2 * TIMEOUT_MS);
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return MAPPER.missingNode();
        }
        try {
            return MAPPER.readTree(answered.answer().text());
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
