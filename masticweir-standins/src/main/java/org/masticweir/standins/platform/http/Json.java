package org.masticweir.standins.platform.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/** Turns records into JSON with snake-case names and back; thread-safe. */
final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();

    private Json() {}

    static byte[] write(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + message.getClass().getName(), e);
        }
    }

    /** Reads a message, refusing unknown fields so that a misspelt fault does not pass unseen. */
    static <T> T read(byte[] body, Class<T> type) {
        try {
            T message = MAPPER.readValue(body, type);
            if (message == null) {
                throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, "body is null");
            }
            return message;
        } catch (IOException e) {
            throw MasticweirException.notRun(
                    ErrorCode.BAD_REQUEST, "cannot read the body: " + e.getMessage());
        }
    }
}
