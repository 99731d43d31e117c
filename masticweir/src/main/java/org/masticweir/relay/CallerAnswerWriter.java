package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.io.DefaultIoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.masticweir.error.ErrorCode;
import org.masticweir.http.AnswerPool;
import org.masticweir.http.HttpHead;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Writes the answer of one request to its caller; runs on the traffic thread. */
final class CallerAnswerWriter {
    private static final double MS_PER_SECOND = 1_000.0;

    private final HttpServerExchange exchange;
    private final Consumer<CutReason> onCut;
    private final CallerQueue queue;
    private StreamSinkChannel sink;
    private boolean isEndQueued;
    private boolean isEnded;

    /**
     * How much of an event stream was written.
     *
     * @param queuedBytes bytes that wait until the caller reads
     */
    record Progress(int events, long bytes, int queuedBytes) {}

    /**
     * Creates the writer for the answer of {@code exchange}.
     *
     * @param pool memory that answers share while their callers do not read
     * @param onCut receives the reason if the writer ends the connection before the answer is
     *     complete; not called by {@link #abort} and {@link #sendError}
     */
    CallerAnswerWriter(HttpServerExchange exchange, AnswerPool pool, Consumer<CutReason> onCut) {
        this.exchange = checkNotNull(exchange, "exchange");
        queue = new CallerQueue(pool);
        this.onCut = checkNotNull(onCut, "onCut");
    }

    /** Returns whether the headers of an event stream have been sent. */
    boolean isStreaming() {
        return sink != null;
    }

    /** Returns whether the whole answer was given to the library, or the connection was closed. */
    boolean isEnded() {
        return isEnded || isEndQueued;
    }

    Progress progress() {
        return new Progress(queue.writtenEvents(), queue.writtenBytes(), queue.queuedBytes());
    }

    /** Sends a complete answer. */
    void sendComplete(HttpHead head, byte[] body) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        exchange.setStatusCode(head.status());
        head.headers().addTo(exchange.getResponseHeaders());
        send(body);
    }

    /** Sends an error answer of this router. */
    void sendError(ErrorCode code, OptionalLong retryAfterMs, String reason) {
        if (isEnded) {
            return;
        }
        if (isStreaming()) {
            // The status has already been sent. The caller must not take the partial answer for a
            // complete one.
            abort();
            return;
        }
        isEnded = true;
        exchange.setStatusCode(code.httpStatus());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        retryAfterMs.ifPresent(
                ms ->
                        exchange.getResponseHeaders()
                                .put(Headers.RETRY_AFTER, Double.toString(ms / MS_PER_SECOND)));
        String body = "{\"code\":\"" + code + "\",\"message\":\"" + reason + "\"}";
        send(body.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a body of known length; the library sets the length only with its own callback. */
    private void send(byte[] body) {
        boolean hasEncoding = exchange.getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
        if (exchange.getResponseContentLength() < 0 && !hasEncoding) {
            exchange.setResponseContentLength(body.length);
        }
        exchange.getResponseSender()
                .send(
                        ByteBuffer.wrap(body),
                        new DefaultIoCallback() {
                            @Override
                            public void onException(
                                    HttpServerExchange ex, Sender sender, IOException e) {
                                onCut.accept(CutReason.LAST_PART_NOT_WRITTEN);
                                super.onException(ex, sender, e);
                            }
                        });
    }

    /**
     * Sends the headers of an event stream.
     *
     * <p>Sets the chunked encoding on HTTP/1.1. Without this encoding, if the connection closes
     * after the answer, the library marks the end of the answer only by the close, and an
     * interrupted answer looks complete.
     */
    void startEventStream(HttpHead head) {
        if (isEnded) {
            return;
        }
        exchange.setStatusCode(head.status());
        head.headers().addTo(exchange.getResponseHeaders());
        if (exchange.isHttp11()) {
            exchange.getResponseHeaders()
                    .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        sink = exchange.getResponseChannel();
        sink.getWriteSetter().set(c -> write());
    }

    /** Queues one event; {@link #writeEvents} must follow. */
    void addEvent(ByteBuffer bytes) {
        if (!isEnded && !queue.add(bytes)) {
            cut(CutReason.CALLER_TOO_SLOW);
        }
    }

    /** Writes the queued events, as far as the caller reads. */
    void writeEvents() {
        if (isStreaming()) {
            write();
        }
    }

    /** Ends an event stream as complete. */
    void endEventStream() {
        isEndQueued = true;
        write();
    }

    /**
     * Closes the caller's connection, so that the caller does not take a partial answer for a
     * complete one.
     */
    void abort() {
        isEnded = true;
        queue.close();
        IoUtils.safeClose(exchange.getConnection());
    }

    /**
     * Closes the caller's connection unless the whole answer was written. Called after a failure
     * that leaves nobody to write the rest, for which the caller would wait.
     */
    void abortIfIncomplete() {
        if (!exchange.isResponseComplete()) {
            abort();
        }
    }

    private void cut(CutReason reason) {
        onCut.accept(reason);
        abort();
    }

    private void write() {
        if (isEnded) {
            return;
        }
        try {
            if (!queue.writeTo(sink)) {
                sink.resumeWrites();
                return;
            }
            if (isEndQueued) {
                isEnded = true;
                sink.shutdownWrites();
                flushLast();
                return;
            }
            if (sink.flush()) {
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException e) {
            cut(isEndQueued ? CutReason.LAST_PART_NOT_WRITTEN : CutReason.WRITE_FAILED);
        }
    }

    private void flushLast() throws IOException {
        if (sink.flush()) {
            sink.suspendWrites();
            exchange.endExchange();
            return;
        }
        sink.getWriteSetter()
                .set(
                        c -> {
                            try {
                                flushLast();
                            } catch (IOException e) {
                                cut(CutReason.LAST_PART_NOT_WRITTEN);
                            }
                        });
        sink.resumeWrites();
    }
}
