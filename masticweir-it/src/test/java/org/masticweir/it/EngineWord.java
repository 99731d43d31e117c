package org.masticweir.it;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.UncheckedIOException;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;

/** What an engine says of itself: its role and its versions of the model, lowest first. */
record EngineWord(String role, ImmutableList<Integer> versions) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 2_000;

    /** Asks {@code engine} itself; an engine that does not answer holds nothing. */
    static EngineWord of(HttpCaller calls, BackEndProcess engine) {
        HttpCall call = HttpCall.get(engine.address(), "/v1/orders");
        HttpOutcome outcome = calls.call(call, TIMEOUT_MS).join();
        if (!(outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess())) {
            return new EngineWord("silent", ImmutableList.of());
        }
        try {
            JsonNode state = MAPPER.readTree(a.answer().text());
            ImmutableList.Builder<Integer> versions = ImmutableList.builder();
            state.path("models").forEach(m -> versions.add(m.path("version").asInt()));
            ImmutableList<Integer> sorted = ImmutableList.sortedCopyOf(versions.build());
            return new EngineWord(state.path("role").asText(), sorted);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
