package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller has left while its request is under way; runs on the traffic thread.
 *
 * <p>Failure guarded against: a caller gives up, and its request goes on at a server for nobody.
 * The server library reads nothing from a connection whose request is being answered, so it hears
 * of the close only with its next write. Here the connection is read meanwhile. Bytes of a next
 * request are kept, up to a buffer, and given back to the library with the end of the watch. If
 * more come, they are dropped to see what lies behind them, and the connection ends with the
 * answer.
 */
final class CallerDisconnectDetector {
    private static final Logger LOG = LogManager.getLogger(CallerDisconnectDetector.class);
    private static final AttachmentKey<CallerDisconnectDetector> KEY =
            AttachmentKey.create(CallerDisconnectDetector.class);
    private static final Runnable NO_OP = () -> {};

    private final HttpServerConnection connection;
    private HttpServerExchange exchange;
    private Runnable onDisconnect = NO_OP;

    /** Bytes of a next request, ready to be added to. */
    private Optional<PooledByteBuffer> nextRequestBytes = Optional.empty();

    private boolean hasDroppedBytes;

    private CallerDisconnectDetector(HttpServerConnection connection) {
        this.connection = connection;
    }

    /** Has {@code left} run if the caller leaves; call once the whole request has been read. */
    static CallerDisconnectDetector start(HttpServerExchange exchange, Runnable onDisconnect) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        CallerDisconnectDetector detector = connection.getAttachment(KEY);
        if (detector == null) {
            // One for all requests of the connection, as close listeners can't be taken back.
            CallerDisconnectDetector created = new CallerDisconnectDetector(connection);
            connection.putAttachment(KEY, created);
            connection.addCloseListener(c -> created.notifyListener());
            detector = created;
        }
        detector.begin(exchange, checkNotNull(onDisconnect, "onDisconnect"));
        return detector;
    }

    private void begin(HttpServerExchange watched, Runnable listener) {
        exchange = watched;
        onDisconnect = listener;
        hasDroppedBytes = false;
        nextRequestBytes = Optional.ofNullable(connection.getExtraBytes());
        connection.setExtraBytes(null);
        nextRequestBytes.ifPresent(bytes -> bytes.getBuffer().compact());
        connection.getChannel().getSourceChannel().getReadSetter().set(c -> checkClosed());
        connection.getOriginalSourceConduit().resumeReads();
    }

    /** Stops watching, before the answer ends. */
    void stop() {
        if (onDisconnect != NO_OP) {
            onDisconnect = NO_OP;
            connection.getOriginalSourceConduit().suspendReads();
            nextRequestBytes.ifPresent(this::returnToLibrary);
            nextRequestBytes = Optional.empty();
        }
    }

    private void returnToLibrary(PooledByteBuffer bytes) {
        bytes.getBuffer().flip();
        if (bytes.getBuffer().hasRemaining() && !hasDroppedBytes) {
            connection.ungetRequestBytes(bytes);
        } else {
            bytes.close();
        }
    }

    /**
     * Looks whether the caller has left, and tells so before it returns.
     *
     * <p>Failure guarded against: a request lies unread while the thread is busy, its caller gives
     * up, and the request is sent to a server before the close, which lies behind it, is seen.
     */
    void checkClosed() {
        if (onDisconnect == NO_OP) {
            return;
        }
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        try {
            ByteBuffer buffer = nextRequestBuffer();
            int count = source.read(buffer);
            while (count > 0 && buffer.hasRemaining()) {
                count = source.read(buffer);
            }
            if (count < 0) {
                handleDisconnect();
            }
        } catch (IOException e) {
            LOG.debug("relay: caller's connection broke, {}", e.getMessage());
            handleDisconnect();
        }
    }

    /** Returns the buffer for bytes of a next request; drops those in it if it is full. */
    private ByteBuffer nextRequestBuffer() {
        if (nextRequestBytes.isEmpty()) {
            nextRequestBytes = Optional.of(connection.getByteBufferPool().allocate());
        }
        ByteBuffer buffer = nextRequestBytes.get().getBuffer();
        if (!buffer.hasRemaining()) {
            hasDroppedBytes = true;
            exchange.setPersistent(false);
            buffer.clear();
        }
        return buffer;
    }

    private void handleDisconnect() {
        IoUtils.safeClose(connection);
        notifyListener();
    }

    private void notifyListener() {
        Runnable listener = onDisconnect;
        onDisconnect = NO_OP;
        nextRequestBytes.ifPresent(PooledByteBuffer::close);
        nextRequestBytes = Optional.empty();
        listener.run();
    }
}
