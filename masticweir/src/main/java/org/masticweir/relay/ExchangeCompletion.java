package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Tells when an exchange is over: the last byte of its answer is written, or its connection is
 * closed; on the traffic thread.
 *
 * <p>Failure guarded against: an answer counts as given while a part of it still waits for a slow
 * caller, and the process ends over it.
 */
final class ExchangeCompletion {
    private static final AttachmentKey<ExchangeCompletion> KEY =
            AttachmentKey.create(ExchangeCompletion.class);
    private static final Runnable NO_OP = () -> {};

    private Runnable listener = NO_OP;

    private ExchangeCompletion() {}

    /**
     * Has {@code ended} run once when {@code exchange} is over, and keeps {@code kept} up to date.
     */
    static void addListener(
            HttpServerExchange exchange, KeepAliveConnections connections, Runnable listener) {
        checkNotNull(listener, "listener");
        ServerConnection connection = exchange.getConnection();
        ExchangeCompletion completion = of(connection, connections);
        completion.listener = listener;
        connections.exchangeStarted(connection);
        exchange.addExchangeCompleteListener(
                (ex, next) -> {
                    completion.notifyListener();
                    if (connection.isOpen()) {
                        connections.exchangeCompleted(connection);
                    }
                    next.proceed();
                    connections.exchangeReleased();
                });
    }

    /** One for all exchanges of a connection, as close listeners can't be taken back. */
    private static ExchangeCompletion of(
            ServerConnection connection, KeepAliveConnections connections) {
        ExchangeCompletion known = connection.getAttachment(KEY);
        if (known != null) {
            return known;
        }
        ExchangeCompletion created = new ExchangeCompletion();
        connection.putAttachment(KEY, created);
        connection.addCloseListener(
                c -> {
                    created.notifyListener();
                    connections.connectionClosed(c);
                });
        return created;
    }

    private void notifyListener() {
        Runnable current = listener;
        listener = NO_OP;
        current.run();
    }
}
