package org.masticweir.standins.service;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.masticweir.standins.http.BodyHandler;
import org.masticweir.standins.http.Health;
import org.masticweir.standins.http.Json;
import org.masticweir.standins.http.Pause;
import org.masticweir.standins.http.PauseHandler;
import org.masticweir.standins.http.Refusal;
import org.xnio.IoUtils;

/** The HTTP interface of the service stand-in; thread-safe. */
final class ServiceApi {
    private static final HttpString REQUEST_HEADER = new HttpString("Masticweir-Request");
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MS = 500;

    /** The answer to a control call. */
    private record Applied(boolean applied) {}

    private final Service service;
    private final Pause pause;
    private final long serviceMs;

    private ServiceApi(Service service, Pause pause, long serviceMs) {
        this.service = checkNotNull(service, "service");
        this.pause = checkNotNull(pause, "pause");
        this.serviceMs = serviceMs;
    }

    /** Returns the handler of all paths, which a pause holds back. */
    static HttpHandler handler(Service service, Pause pause, long serviceMs) {
        ServiceApi api = new ServiceApi(service, pause, serviceMs);
        HttpHandler routes =
                Handlers.routing()
                        .post("/call", BodyHandler.bytes(api::call))
                        .get("/v1/state", e -> Json.send(e, OK, service.load()))
                        .get("/v1/health", e -> Json.send(e, OK, Health.ok()))
                        .post("/control", BodyHandler.json(ServiceControl.class, api::control))
                        .get("/control/records", e -> Json.send(e, OK, service.records()));
        return PauseHandler.of(pause, routes);
    }

    private void call(HttpServerExchange exchange, byte[] body) {
        String request = exchange.getRequestHeaders().getFirst(REQUEST_HEADER);
        checkArgument(request != null, "header %s is missing", REQUEST_HEADER);
        String input = new String(body, StandardCharsets.UTF_8);
        if (service.refusing()) {
            refuse(exchange, UNAVAILABLE);
        } else if (!service.begin(request, input)) {
            refuse(exchange, TOO_MANY_REQUESTS);
        } else {
            String answer = "done:" + request + ":" + input;
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> endAfter(serviceMs, exchange, answer));
        }
    }

    private static void refuse(HttpServerExchange exchange, int status) {
        Json.send(exchange, status, Refusal.of("OVERLOADED", RETRY_AFTER_MS));
    }

    private void endAfter(long ms, HttpServerExchange exchange, String answer) {
        Runnable end = () -> end(exchange, answer);
        exchange.getIoThread().executeAfter(end, ms, TimeUnit.MILLISECONDS);
    }

    private void end(HttpServerExchange exchange, String answer) {
        if (pause.active()) {
            endAfter(pause.remainingMs(), exchange, answer);
        } else if (service.end()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=UTF-8");
            exchange.getResponseSender().send(answer, StandardCharsets.UTF_8);
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void control(HttpServerExchange exchange, ServiceControl control) {
        if (control.refuseMs() != null) {
            service.refuseForMs(control.refuseMs());
        }
        if (control.loseAnswers() != null) {
            service.loseAnswers(control.loseAnswers());
        }
        if (control.pauseMs() != null) {
            pause.begin(control.pauseMs());
        }
        Json.send(exchange, OK, new Applied(true));
    }
}
