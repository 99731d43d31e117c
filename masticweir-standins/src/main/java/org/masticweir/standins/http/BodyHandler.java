package org.masticweir.standins.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;

/**
 * Reads a whole request body without blocking and hands it on as a typed message.
 *
 * <p>Thread-safe when its consumer is.
 */
public final class BodyHandler<T> implements HttpHandler {
    /** Takes an exchange with its body, on the exchange's I/O thread. */
    @FunctionalInterface
    public interface Consumer<T> {
        void accept(HttpServerExchange exchange, T body) throws Exception;
    }

    /** Decodes the bytes of a body. */
    @FunctionalInterface
    private interface Decoder<T> {
        T decode(byte[] bytes);
    }

    private final Decoder<T> decoder;
    private final Consumer<T> consumer;

    private BodyHandler(Decoder<T> decoder, Consumer<T> consumer) {
        this.decoder = decoder;
        this.consumer = checkNotNull(consumer, "consumer");
    }

    /** Returns a handler of JSON bodies of {@code type}. */
    public static <T> BodyHandler<T> json(Class<T> type, Consumer<T> consumer) {
        checkNotNull(type, "type");
        return new BodyHandler<>(bytes -> Json.read(bytes, type), consumer);
    }

    /** Returns a handler of bodies taken as they are. */
    public static BodyHandler<byte[]> bytes(Consumer<byte[]> consumer) {
        return new BodyHandler<>(bytes -> bytes, consumer);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes(this::received);
    }

    private void received(HttpServerExchange exchange, byte[] bytes) {
        HttpHandler handler = e -> consumer.accept(e, decoder.decode(bytes));
        try {
            ErrorHandler.of(handler).handleRequest(exchange);
        } catch (Exception e) {
            throw new IllegalStateException("handler failed", e);
        }
    }
}
