package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Notifies a listener when an exchange is complete: the last byte of its answer has been written,
 * or its connection has been closed; runs on the traffic thread.
 *
 * <p>Without this notification, an answer would count as delivered while its last part is still
 * queued for a slow caller, and the process could exit before that part is sent.
 */
final class ExchangeCompletion {
    private static final AttachmentKey<ExchangeCompletion> KEY =
            AttachmentKey.create(ExchangeCompletion.class);
    private static final Runnable NO_OP = () -> {};

    private Runnable listener = NO_OP;

    private ExchangeCompletion() {}

    /**
     * Runs {@code listener} once when {@code exchange} is complete, and records the state of its
     * connection in {@code connections}.
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

    /**
     * Returns the instance for all exchanges of a connection; they share an instance because close
     * listeners can't be removed.
     */
    private static ExchangeCompletion of(
            ServerConnection connection, KeepAliveConnections connections) {
        ExchangeCompletion existing = connection.getAttachment(KEY);
        if (existing != null) {
            return existing;
        }
        ExchangeCompletion newCompletion = new ExchangeCompletion();
        connection.putAttachment(KEY, newCompletion);
        connection.addCloseListener(
                c -> {
                    newCompletion.notifyListener();
                    connections.connectionClosed(c);
                });
        return newCompletion;
    }

    private void notifyListener() {
        Runnable current = listener;
        listener = NO_OP;
        current.run();
    }
}
