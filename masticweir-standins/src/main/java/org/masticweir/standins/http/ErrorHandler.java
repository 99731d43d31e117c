package org.masticweir.standins.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/** Answers with the status and code of an error that the next handler throws; thread-safe. */
public final class ErrorHandler implements HttpHandler {
    private final HttpHandler next;

    private ErrorHandler(HttpHandler next) {
        this.next = checkNotNull(next, "next");
    }

    public static ErrorHandler of(HttpHandler next) {
        return new ErrorHandler(next);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        try {
            next.handleRequest(exchange);
        } catch (MasticweirException e) {
            send(exchange, e.code(), e.getMessage());
        } catch (IllegalArgumentException e) {
            send(exchange, ErrorCode.BAD_REQUEST, e.getMessage());
        }
    }

    private static void send(HttpServerExchange exchange, ErrorCode code, String message) {
        Json.send(exchange, code.httpStatus(), new ErrorBody(code.name(), String.valueOf(message)));
    }
}
