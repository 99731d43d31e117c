package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.http.AnswerBuffer;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpStream;
import org.masticweir.http.HttpStreamListener;
import org.masticweir.path.ConnectAttempt;

/**
 * One send of a request to a server; checks the answer before it is passed on. Runs on the traffic
 * thread.
 *
 * <p>Each send has its own connection. A late or duplicate answer therefore can't be taken for the
 * answer to another request, and no send uses a connection that its server has just closed. New
 * connections cost 2 in 1,000 of the earnings of requests on a day without failures.
 *
 * <p>An answer is discarded if it belongs to another request, has no signature, or has a body that
 * is longer than expected. The send is then lost and its connection is closed.
 */
final class ServerSend implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ServerSend.class);

    /** Limit on the size of a complete answer. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private final RelayContext context;
    private final BackendServer server;
    private final String requestId;
    private final boolean isStreaming;
    private final ConnectAttempt attempt;
    private final SendListener listener;
    private final EventSplitter splitter;
    private final AnswerBuffer body;
    private Optional<HttpStream> httpStream = Optional.empty();
    private HttpHead head;
    private AnswerMetadata metadata;
    private boolean isEnded;

    private ServerSend(
            RelayContext context,
            BackendServer server,
            String requestId,
            boolean isStreaming,
            ConnectAttempt attempt,
            SendListener listener) {
        this.context = checkNotNull(context, "context");
        this.server = checkNotNull(server, "server");
        this.requestId = checkNotNull(requestId, "requestId");
        this.isStreaming = isStreaming;
        this.attempt = checkNotNull(attempt, "attempt");
        this.listener = checkNotNull(listener, "listener");
        body = new AnswerBuffer(MAX_ANSWER_BYTES, context.answerPool());
        splitter = new EventSplitter(context.answerPool());
    }

    /**
     * Connects to {@code server} and sends the call that {@code callSupplier} returns.
     *
     * @param callSupplier evaluated once the connection is established; returns an empty value if
     *     the request must no longer be sent
     * @param requestId request id that the answer must have
     * @param isStreaming whether a successful answer is an event stream
     */
    static ServerSend open(
            RelayContext context,
            BackendServer server,
            Supplier<Optional<HttpCall>> callSupplier,
            String requestId,
            boolean isStreaming,
            SendListener listener) {
        ConnectAttempt attempt =
                context.serverDialer().newAttempt(server, context.connectTimeoutMs());
        ServerSend send =
                new ServerSend(context, server, requestId, isStreaming, attempt, listener);
        HttpStream stream =
                HttpStream.open(
                        context.thread(),
                        context.buffers(),
                        server.address(),
                        send.attempt,
                        () -> send.onConnected(callSupplier),
                        context.connectTimeoutMs() + 1,
                        send.new AnswerReader());
        send.httpStream = Optional.of(stream);
        if (send.isEnded) {
            stream.close();
        }
        return send;
    }

    /** Closes the connection; the listener receives no further events. */
    @Override
    public void close() {
        isEnded = true;
        body.close();
        splitter.close();
        attempt.close();
        httpStream.ifPresent(HttpStream::close);
    }

    private Optional<HttpCall> onConnected(Supplier<Optional<HttpCall>> callSupplier) {
        attempt.carrier().ifPresent(listener::onTunnel);
        return callSupplier.get();
    }

    private boolean isEventStream() {
        return isStreaming && head.isSuccess();
    }

    /**
     * Ends a stream whose last event is complete.
     *
     * <p>A process that dies ends its connections, too. Without a length or chunks, the end of the
     * connection shows that the stream is complete only if the server is still alive. The stream of
     * a server that is not goes on elsewhere; the rest is empty if the stream was complete.
     */
    private void endStream() {
        if (head.isBodyFramed()) {
            completeStream();
            return;
        }
        listener.onBodyEnd();
        // A probe that began before the end would not show that the server lived at the end.
        ServerProbe probe =
                new ServerProbe(
                        context.serverCaller(),
                        context.protocol(),
                        context.limits(),
                        context.metadataRecorder(),
                        context.clock());
        probe.probe(server, context.view().get().catalog(), this::endStream);
    }

    private void endStream(ServerProbe.Result result) {
        if (result == ServerProbe.Result.NOT_PROBED && !isEnded) {
            checkServer(this::completeStream);
        } else {
            endUnframed(result, result == ServerProbe.Result.LIVES, this::completeStream);
        }
    }

    /** Calls {@code completion} if the server still accepts connections; else the send is lost. */
    private void checkServer(Runnable completion) {
        new ServerConnectCheck(context.serverDialer(), context.thread())
                .check(
                        server,
                        isAlive ->
                                endUnframed(
                                        isAlive ? "CONNECTED" : "NOT_CONNECTED",
                                        isAlive,
                                        completion));
    }

    private void endUnframed(Object finding, boolean isAlive, Runnable completion) {
        if (isEnded) {
            return;
        }
        LOG.info("relay: request {}: answer without a length ended, {}", requestId, finding);
        if (isAlive) {
            completion.run();
        } else {
            discard("the answer has no length and its server no longer answers");
        }
    }

    private void completeAnswer() {
        isEnded = true;
        byte[] whole = body.toByteArray();
        body.close();
        listener.onAnswer(head, metadata, whole);
    }

    private void completeStream() {
        isEnded = true;
        listener.onStreamEnd(head);
    }

    private void discard(String reason) {
        if (isEnded) {
            return;
        }
        close();
        listener.onLost(reason);
    }

    /** Handles the bytes of the answer. */
    private final class AnswerReader implements HttpStreamListener {
        @Override
        public void head(HttpHead received) {
            if (isEnded) {
                return;
            }
            head = received;
            metadata = context.protocol().parseAnswerMetadata(received);
            if (metadata.isRefusal()) {
                if (!metadata.isWrongServer()) {
                    listener.onHead(metadata);
                }
                return;
            }
            if (metadata.requestId().isPresent() && !metadata.requestId().get().equals(requestId)) {
                discard("the answer is to another request");
            } else if (received.isSuccess() && !metadata.isSigned()) {
                discard("the answer has no signature");
            } else {
                listener.onHead(metadata);
            }
        }

        @Override
        public void bytes(ByteBuffer part) throws IOException {
            if (isEnded) {
                part.position(part.limit());
                return;
            }
            if (isEventStream()) {
                splitEvents(part);
                return;
            }
            if (metadata.isRefusal()) {
                // The head is enough; the body of a refusal is not passed on.
                httpStream.ifPresent(HttpStream::close);
                refuse();
                return;
            }
            body.append(part);
        }

        /** Passes on the events that came together, also those before a malformed one. */
        private void splitEvents(ByteBuffer part) throws IOException {
            try {
                splitter.feed(
                        part,
                        (event, id) -> {
                            if (!isEnded) {
                                listener.onEvent(head, event, id);
                            }
                        });
            } finally {
                listener.onEventsEnd();
            }
        }

        @Override
        public void end() {
            if (isEnded) {
                return;
            }
            if (metadata.isRefusal()) {
                refuse();
            } else if (!isEventStream() && (head.isBodyFramed() || !head.isSuccess())) {
                completeAnswer();
            } else if (!isEventStream()) {
                listener.onBodyEnd();
                checkServer(ServerSend.this::completeAnswer);
            } else if (splitter.isAtEventEnd()) {
                endStream();
            } else {
                discard("the answer ends within an event");
            }
        }

        @Override
        public void lost(boolean isSent) {
            if (isEnded) {
                return;
            }
            if (metadata != null && metadata.isRefusal()) {
                // The head is enough; the body of a refusal is not passed on.
                refuse();
            } else if (isSent) {
                discard(
                        httpStream
                                .flatMap(HttpStream::malformation)
                                .map(m -> "the answer is malformed: " + m)
                                .orElse("the connection broke"));
            } else {
                isEnded = true;
                listener.onNotSent(attempt.failure());
            }
        }

        private void refuse() {
            isEnded = true;
            body.close();
            listener.onRefusal(head, metadata);
        }
    }
}
