package org.masticweir.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Turns messages into JSON and back; stateless and thread-safe. */
final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /** Returns the message that {@code text} holds, or empty when it holds none. */
    static <T> Optional<T> read(String text, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(text, type));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    static String write(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("message without a JSON form: " + message, e);
        }
    }
}
