package org.masticweir.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.primitives.ImmutableIntArray;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the JSON body that starts an attempt. */
final class AttemptBody {
    private static final JsonFactory JSON = new JsonFactory();

    private AttemptBody() {}

    /** Returns the body of {@code POST /v1/generations} for {@code attempt}. */
    static byte[] of(AttemptRequest attempt) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("request", attempt.request().id().value());
            json.writeNumberField("generation", attempt.generation().id().number());
            json.writeNumberField("attempt", attempt.attempt().number());
            json.writeStringField("model", attempt.request().model().value());
            json.writeStringField("version", attempt.generation().version());
            json.writeStringField("adapter", attempt.generation().adapter());
            json.writeNumberField("seed", attempt.generation().seed());
            writeTokens(json, "prompt", attempt.request().prompt());
            writeTokens(json, "prefix", attempt.prefix());
            json.writeNumberField("max_tokens", attempt.request().maxTokens());
            json.writeNumberField("priority", attempt.priority());
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeTokens(JsonGenerator json, String name, ImmutableIntArray tokens)
            throws IOException {
        json.writeFieldName(name);
        json.writeArray(tokens.toArray(), 0, tokens.length());
    }
}
