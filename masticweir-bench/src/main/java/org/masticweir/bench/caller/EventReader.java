package org.masticweir.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.primitives.ImmutableIntArray;
import com.google.common.primitives.ImmutableLongArray;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads server-sent events of one answer as they arrive; not thread-safe. */
final class EventReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ImmutableIntArray.Builder tokens = ImmutableIntArray.builder();
    private final ImmutableLongArray.Builder times = ImmutableLongArray.builder();

    private String id = "";
    private String event = "";
    private String data = "";
    private int generation;
    private int next;
    private int disorders;
    private int resets;
    private CallRecord.Outcome outcome = CallRecord.Outcome.BROKEN;
    private String code = "";
    private String verdict = "";
    private String submission = "";
    private long retryAfterMs;

    void bytes(ByteBuffer part, long nowMs) throws IOException {
        while (part.hasRemaining()) {
            byte b = part.get();
            if (b == '\n') {
                line(line.toString(StandardCharsets.UTF_8), nowMs);
                line.reset();
            } else {
                line.write(b);
            }
        }
    }

    /** Takes the body of an answer that is an error and not a stream. */
    void errorBody(String json) throws IOException {
        error(MAPPER.readTree(json));
    }

    /** Returns how many tokens came so far. */
    int count() {
        return next;
    }

    CallRecord record(int status, long startedAtMs, long endedAtMs) {
        return new CallRecord(
                status,
                generation,
                tokens.build(),
                times.build(),
                disorders,
                resets,
                outcome,
                code,
                verdict,
                submission,
                retryAfterMs,
                startedAtMs,
                endedAtMs);
    }

    private void line(String text, long nowMs) throws IOException {
        if (text.isEmpty()) {
            dispatch(nowMs);
        } else if (text.startsWith("id: ")) {
            id = text.substring("id: ".length());
        } else if (text.startsWith("event: ")) {
            event = text.substring("event: ".length());
        } else if (text.startsWith("data: ")) {
            data = text.substring("data: ".length());
        }
    }

    private void dispatch(long nowMs) throws IOException {
        if (!data.isEmpty()) {
            JsonNode json = MAPPER.readTree(data);
            switch (event) {
                case "end" -> end(json);
                case "error" -> error(json);
                case "reset" -> resets++;
                default -> token(json, nowMs);
            }
        }
        id = "";
        event = "";
        data = "";
    }

    private void token(JsonNode json, long nowMs) {
        int colon = id.indexOf(':');
        int of = Integer.parseInt(id.substring(0, colon));
        int index = Integer.parseInt(id.substring(colon + 1));
        boolean first = next == 0 && generation == 0;
        if (!first && (index != next || of != generation)) {
            disorders++;
        }
        generation = of;
        next = index + 1;
        tokens.add(json.path("token").asInt());
        times.add(nowMs);
    }

    private void end(JsonNode json) {
        outcome = CallRecord.Outcome.COMPLETED;
        verdict = json.path("verdict").asText();
    }

    private void error(JsonNode json) {
        outcome = CallRecord.Outcome.ERROR;
        code = json.path("code").asText();
        submission = json.path("submission").asText();
        retryAfterMs = json.path("retry_after_ms").asLong();
        verdict = json.path("verdict").asText();
    }
}
