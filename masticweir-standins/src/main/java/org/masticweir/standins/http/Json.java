package org.masticweir.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/** Reads and writes the JSON messages of the stand-ins, with snake-case names; thread-safe. */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private Json() {}

    /** Returns {@code message} as JSON text on one line, in UTF-8. */
    public static byte[] write(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write " + message.getClass(), e);
        }
    }

    /** Returns the message that {@code text} holds; throws {@code BAD_REQUEST} when it is none. */
    public static <T> T read(byte[] text, Class<T> type) {
        try {
            T message = MAPPER.readValue(text, type);
            if (message == null) {
                throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, "body is null");
            }
            return message;
        } catch (IOException e) {
            throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, e.getMessage());
        }
    }

    /** Answers {@code exchange} with {@code status} and {@code message}. */
    public static void send(HttpServerExchange exchange, int status, Object message) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(write(message)));
    }
}
