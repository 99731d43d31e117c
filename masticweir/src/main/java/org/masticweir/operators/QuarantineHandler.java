package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.callers.ErrorAnswer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.SharedQuarantine;

/**
 * Answers operators' calls about the quarantine, and passes all other calls on. Thread-safe.
 *
 * <p>Only calls from the router's own machine are answered, because the port asks for no
 * credential.
 */
public final class QuarantineHandler implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger(QuarantineHandler.class);
    private static final String LIST = "/v1/quarantine";
    private static final String RELEASE = "/v1/quarantine/release";
    private static final int MAX_BODY_BYTES = 4_096;

    private final SharedQuarantine quarantine;
    private final HttpHandler next;

    /**
     * Creates the handler of a port.
     *
     * @param next handles all other paths
     */
    public QuarantineHandler(SharedQuarantine quarantine, HttpHandler next) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.next = checkNotNull(next, "next");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestPath();
        if (!path.equals(LIST) && !path.equals(RELEASE)) {
            next.handleRequest(exchange);
            return;
        }
        try {
            checkCall(exchange, path.equals(LIST) ? Methods.GET : Methods.POST);
        } catch (MasticweirException e) {
            ErrorAnswer.send(exchange, e);
            return;
        }
        if (path.equals(LIST)) {
            respond(exchange, QuarantineList.of(quarantine.contents()));
        } else {
            exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            this::release,
                            (ex, e) ->
                                    ErrorAnswer.send(ex, bad("the body could not be read: " + e)));
        }
    }

    private static void checkCall(HttpServerExchange exchange, HttpString method) {
        InetAddress caller = exchange.getSourceAddress().getAddress();
        boolean isFromHere =
                caller.isLoopbackAddress()
                        || caller.equals(exchange.getDestinationAddress().getAddress());
        if (!isFromHere) {
            throw MasticweirException.notRun(
                    ErrorCode.UNAUTHORIZED, "this call is answered on the router's machine only");
        }
        if (!exchange.getRequestMethod().equals(method)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
            throw MasticweirException.notRun(
                    ErrorCode.METHOD_NOT_ALLOWED, "this path takes only " + method);
        }
    }

    private void release(HttpServerExchange exchange, byte[] body) {
        try {
            ContentId id = OperatorJson.read(body, QuarantineList.Release.class).content();
            boolean isReleased = quarantine.release(id);
            LOG.info(
                    "operators: release of {}, {}",
                    id,
                    isReleased ? "released" : "no server ended under it");
            if (!isReleased) {
                throw MasticweirException.notRun(
                        ErrorCode.NOT_FOUND, "no server ended under " + id);
            }
            respond(
                    exchange,
                    new QuarantineList.Released(id.value(), QuarantineList.State.CLEARED));
        } catch (MasticweirException e) {
            ErrorAnswer.send(exchange, e);
        } catch (IllegalArgumentException e) {
            ErrorAnswer.send(exchange, bad(e.getMessage()));
        }
    }

    private static void respond(HttpServerExchange exchange, Object answer) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(OperatorJson.write(answer), StandardCharsets.UTF_8);
    }

    private static MasticweirException bad(String message) {
        return MasticweirException.notRun(ErrorCode.BAD_REQUEST, message);
    }
}
