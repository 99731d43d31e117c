package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Reads the body of one request to its end, and drops it if it is longer than a limit; runs on the
 * traffic thread.
 *
 * <p>If a connection is closed while it has unread bytes, the caller's system drops the answer that
 * it has received. A request is therefore refused once its body has been read.
 */
final class BodyReader {
    /** Limit on a body that is read to its end; the connection breaks in a longer one. */
    static final long MAX_READ_BYTES = 16 << 20;

    private final long maxBytes;
    private final Listener listener;
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private boolean isTooLong;

    /** Receives the result of one body; exactly one method is called, once. */
    interface Listener {
        void onBody(byte[] body);

        /** Handles a body that was longer than the limit and has been dropped. */
        void onTooLong();

        /** Handles a body whose end will not be read. */
        void onFailed(IOException e);
    }

    private BodyReader(long maxBytes, Listener listener) {
        this.maxBytes = maxBytes;
        this.listener = checkNotNull(listener, "listener");
    }

    /** Reads the body of {@code exchange}, of which {@code maxBytes} are kept. */
    static void read(HttpServerExchange exchange, long maxBytes, Listener listener) {
        BodyReader reader = new BodyReader(maxBytes, listener);
        exchange.setMaxEntitySize(Math.max(maxBytes, MAX_READ_BYTES));
        exchange.getRequestReceiver()
                .receivePartialBytes(reader::handlePart, reader::handleFailure);
    }

    private void handlePart(HttpServerExchange exchange, byte[] part, boolean isLast) {
        if (!isTooLong && bytes.size() + part.length > maxBytes) {
            isTooLong = true;
            bytes = new ByteArrayOutputStream();
        }
        if (!isTooLong) {
            bytes.writeBytes(part);
        }
        if (isLast) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, this::handleEnd);
        }
    }

    private void handleEnd() {
        if (isTooLong) {
            listener.onTooLong();
        } else {
            listener.onBody(bytes.toByteArray());
        }
    }

    private void handleFailure(HttpServerExchange exchange, IOException e) {
        exchange.setPersistent(false);
        if (e instanceof Receiver.RequestToLargeException) {
            listener.onTooLong();
        } else {
            listener.onFailed(e);
        }
    }
}
