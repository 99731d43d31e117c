package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller has disconnected while its request is in flight; runs on the traffic
 * thread.
 *
 * <p>The server library does not read from a connection while its request is being answered. It
 * detects a close only at its next write, and a server would continue to run a request that has no
 * caller. This class reads from the connection meanwhile. It stores up to one buffer of bytes of a
 * following request and returns the bytes to the library when the detection stops. If more bytes
 * arrive, the class drops them, because it must read past them to detect a close. The connection is
 * then closed after the answer.
 */
final class CallerDisconnectDetector {
    private static final Logger LOG = LogManager.getLogger(CallerDisconnectDetector.class);
    private static final AttachmentKey<CallerDisconnectDetector> KEY =
            AttachmentKey.create(CallerDisconnectDetector.class);
    private static final Consumer<CutReason> NO_OP = reason -> {};

    private final HttpServerConnection connection;
    private HttpServerExchange exchange;
    private Consumer<CutReason> onDisconnect = NO_OP;

    /** Bytes of a following request, in a buffer to which more bytes can be appended. */
    private Optional<PooledByteBuffer> nextRequestBytes = Optional.empty();

    private boolean hasDroppedBytes;

    private CallerDisconnectDetector(HttpServerConnection connection) {
        this.connection = connection;
    }

    /**
     * Runs {@code onDisconnect} if the caller disconnects; call this method after the whole request
     * has been read.
     */
    static CallerDisconnectDetector start(
            HttpServerExchange exchange, Consumer<CutReason> onDisconnect) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        CallerDisconnectDetector detector = connection.getAttachment(KEY);
        if (detector == null) {
            // One instance for all requests of the connection, as close listeners can't be
            // removed.
            CallerDisconnectDetector newDetector = new CallerDisconnectDetector(connection);
            connection.putAttachment(KEY, newDetector);
            connection.addCloseListener(
                    c -> newDetector.notifyListener(CutReason.CONNECTION_CLOSED));
            detector = newDetector;
        }
        detector.begin(exchange, checkNotNull(onDisconnect, "onDisconnect"));
        return detector;
    }

    private void begin(HttpServerExchange newExchange, Consumer<CutReason> listener) {
        exchange = newExchange;
        onDisconnect = listener;
        hasDroppedBytes = false;
        nextRequestBytes = Optional.ofNullable(connection.getExtraBytes());
        connection.setExtraBytes(null);
        nextRequestBytes.ifPresent(bytes -> bytes.getBuffer().compact());
        connection.getChannel().getSourceChannel().getReadSetter().set(c -> checkClosed());
        connection.getOriginalSourceConduit().resumeReads();
    }

    /** Stops the detection; call this method before the answer ends. */
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
     * Checks whether the caller has disconnected; if so, runs the listener before this method
     * returns.
     *
     * <p>Without this check, a request could be sent to a server although its caller has already
     * disconnected: while the thread is busy, neither the request nor the close after it is read.
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
                handleDisconnect(CutReason.CALLER_ENDED_INPUT);
            }
        } catch (IOException e) {
            LOG.debug("relay: connection of a caller failed, {}", e.getMessage());
            handleDisconnect(CutReason.CALLER_RESET);
        }
    }

    /** Returns the buffer for bytes of a following request; drops its contents if it is full. */
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

    private void handleDisconnect(CutReason reason) {
        notifyListener(reason);
        IoUtils.safeClose(connection);
    }

    private void notifyListener(CutReason reason) {
        Consumer<CutReason> listener = onDisconnect;
        onDisconnect = NO_OP;
        nextRequestBytes.ifPresent(PooledByteBuffer::close);
        nextRequestBytes = Optional.empty();
        listener.accept(reason);
    }
}
