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
final class ExchangeEnd {
    private static final AttachmentKey<ExchangeEnd> KEY = AttachmentKey.create(ExchangeEnd.class);
    private static final Runnable NO_OP = () -> {};

    private Runnable ended = NO_OP;

    private ExchangeEnd() {}

    /**
     * Has {@code ended} run once when {@code exchange} is over, and keeps {@code kept} up to date.
     */
    static void onEnd(HttpServerExchange exchange, KeepAliveConnections kept, Runnable ended) {
        checkNotNull(ended, "ended");
        ServerConnection connection = exchange.getConnection();
        ExchangeEnd end = of(connection, kept);
        end.ended = ended;
        kept.busy(connection);
        exchange.addExchangeCompleteListener(
                (ex, next) -> {
                    end.over();
                    if (connection.isOpen()) {
                        kept.idle(connection);
                    }
                    next.proceed();
                    kept.settled();
                });
    }

    /** One for all exchanges of a connection, as close listeners can't be taken back. */
    private static ExchangeEnd of(ServerConnection connection, KeepAliveConnections kept) {
        ExchangeEnd known = connection.getAttachment(KEY);
        if (known != null) {
            return known;
        }
        ExchangeEnd created = new ExchangeEnd();
        connection.putAttachment(KEY, created);
        connection.addCloseListener(
                c -> {
                    created.over();
                    kept.closed(c);
                });
        return created;
    }

    private void over() {
        Runnable told = ended;
        ended = NO_OP;
        told.run();
    }
}
