package org.masticweir.bench.slopes;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;

/** Calls that answer with JSON; thread-safe, blocks. */
final class JsonCalls {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 15_000;

    private final HttpCaller calls;

    JsonCalls(HttpCaller calls) {
        this.calls = checkNotNull(calls, "calls");
    }

    JsonNode get(InetSocketAddress address, String path) {
        return call(HttpCall.get(address, path));
    }

    JsonNode post(InetSocketAddress address, String path, JsonNode body) {
        return call(HttpCall.postJson(address, path, body.toString()));
    }

    private JsonNode call(HttpCall call) {
        HttpOutcome outcome = calls.call(call, TIMEOUT_MS).join();
        if (!(outcome instanceof HttpOutcome.Answered a) || !a.answer().isSuccess()) {
            throw new IllegalStateException(call.path() + " was not answered: " + outcome);
        }
        try {
            return MAPPER.readTree(a.answer().text());
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
