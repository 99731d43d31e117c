package org.masticweir.standins.engine;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.masticweir.standins.http.Json;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes one stream's frames as they come, without blocking and without a queue.
 *
 * <p>All its state belongs to the I/O thread of the exchange; {@link #wake} and {@link #drop} may
 * be called from any thread.
 */
final class StreamWriter implements StreamReader {
    private static final byte NEW_LINE = '\n';

    private final HttpServerExchange exchange;
    private final Engine engine;
    private final FrameCursor cursor;
    private final Faults faults;
    private StreamSinkChannel channel;
    private ByteBuffer pending = ByteBuffer.allocate(0);
    private boolean closed;
    private boolean waiting;

    private StreamWriter(
            HttpServerExchange exchange, Engine engine, FrameCursor cursor, Faults faults) {
        this.exchange = exchange;
        this.engine = engine;
        this.cursor = cursor;
        this.faults = faults;
    }

    /** Answers {@code exchange} with the frames of {@code cursor}; called in its handler. */
    static void start(
            HttpServerExchange exchange, Engine engine, FrameCursor cursor, Faults faults) {
        StreamWriter writer = new StreamWriter(exchange, engine, cursor, faults);
        exchange.dispatch(SameThreadExecutor.INSTANCE, writer::open);
    }

    private void open() {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
        if (faults.unframed()) {
            // The server library then ends the answer with the connection.
            exchange.setPersistent(false);
        }
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(c -> write());
        engine.attach(cursor.sequence(), this, cursor.attempt());
    }

    @Override
    public void wake() {
        exchange.getIoThread().execute(this::write);
    }

    @Override
    public void drop() {
        exchange.getIoThread().execute(this::abort);
    }

    private void write() {
        if (closed) {
            return;
        }
        try {
            writeWhatFits();
        } catch (IOException e) {
            abort();
        }
    }

    private void writeWhatFits() throws IOException {
        while (!faults.pause().active()) {
            if (faults.silence().active()) {
                goOnAfterSilence();
                break;
            }
            if (!sent()) {
                channel.resumeWrites();
                return;
            }
            if (cursor.ended()) {
                finish();
                return;
            }
            Optional<Frame> frame = cursor.next();
            if (frame.isEmpty()) {
                break;
            }
            pending = encode(frame.get());
        }
        channel.suspendWrites();
    }

    private void goOnAfterSilence() {
        if (waiting) {
            return;
        }
        waiting = true;
        Runnable retry =
                () -> {
                    waiting = false;
                    write();
                };
        long ms = faults.silence().remainingMs() + 1;
        exchange.getIoThread().executeAfter(retry, ms, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the last frame has left for the socket. */
    private boolean sent() throws IOException {
        while (pending.hasRemaining()) {
            if (channel.write(pending) == 0) {
                return false;
            }
        }
        return channel.flush();
    }

    private static ByteBuffer encode(Frame frame) {
        byte[] text = Json.write(frame);
        return ByteBuffer.allocate(text.length + 1).put(text).put(NEW_LINE).flip();
    }

    private void finish() {
        closed = true;
        engine.detach(cursor.sequence(), this);
        exchange.endExchange();
    }

    private void abort() {
        if (closed) {
            return;
        }
        closed = true;
        engine.detach(cursor.sequence(), this);
        IoUtils.safeClose(exchange.getConnection());
    }
}
