package org.masticweir.standins.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Holds every exchange back while a pause lasts, except those of the control interface.
 *
 * <p>An exchange held back blocks no thread: its I/O thread looks again until the pause is over.
 * Thread-safe.
 */
public final class PauseHandler implements HttpHandler {
    private static final String CONTROL_PATH = "/control";
    private static final long CHECK_INTERVAL_MS = 10;

    private final Pause pause;
    private final HttpHandler next;

    private PauseHandler(Pause pause, HttpHandler next) {
        this.pause = checkNotNull(pause, "pause");
        this.next = checkNotNull(next, "next");
    }

    public static PauseHandler of(Pause pause, HttpHandler next) {
        return new PauseHandler(pause, next);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (pause.active() && !exchange.getRequestPath().startsWith(CONTROL_PATH)) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> hold(exchange));
            return;
        }
        next.handleRequest(exchange);
    }

    private void hold(HttpServerExchange exchange) {
        long ms = Math.max(1, Math.min(CHECK_INTERVAL_MS, pause.remainingMs()));
        Runnable retry = () -> Connectors.executeRootHandler(this, exchange);
        exchange.getIoThread().executeAfter(retry, ms, TimeUnit.MILLISECONDS);
    }
}
