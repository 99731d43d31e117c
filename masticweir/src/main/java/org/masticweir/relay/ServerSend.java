package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.connector.ByteBufferPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Supplier;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpStream;
import org.masticweir.http.HttpStreamListener;
import org.xnio.XnioIoThread;

/**
 * One send of a request to a server, whose answer is checked before anyone sees it.
 *
 * <p>Each send has a connection of its own: an answer that comes late or twice then meets no other
 * request, and a connection that its server has just closed is never used. New connections cost 2
 * in 1,000 of what requests earn, measured on a calm day.
 *
 * <p>Failures guarded against: an answer to another request arrives first on the connection, an
 * answer bears no signature, a body is longer than any that is expected. Such an answer belongs to
 * nobody: the send is lost and its connection is closed. Runs on the traffic thread.
 */
final class ServerSend implements AutoCloseable {
    /** Longest whole answer kept, in bytes. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private final String request;
    private final boolean streams;
    private final PlatformProtocol dialect;
    private final SendListener listener;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Optional<HttpStream> http = Optional.empty();
    private HttpHead head;
    private AnswerMetadata word;
    private boolean over;

    private ServerSend(
            String request, boolean streams, PlatformProtocol dialect, SendListener listener) {
        this.request = checkNotNull(request, "request");
        this.streams = streams;
        this.dialect = checkNotNull(dialect, "dialect");
        this.listener = checkNotNull(listener, "listener");
    }

    /**
     * Connects to {@code address} and sends what {@code call} returns then.
     *
     * @param call asked once the connection stands; empty if there is nothing to send any more
     * @param request id that the answer must bear
     * @param streams whether a success is a series of events
     */
    static ServerSend open(
            XnioIoThread thread,
            ByteBufferPool buffers,
            InetSocketAddress address,
            Supplier<Optional<HttpCall>> call,
            long connectTimeoutMs,
            String request,
            boolean streams,
            PlatformProtocol dialect,
            SendListener listener) {
        ServerSend send = new ServerSend(request, streams, dialect, listener);
        HttpStreamListener bytes = send.new Bytes();
        HttpStream stream =
                HttpStream.open(thread, buffers, address, call, connectTimeoutMs, bytes);
        send.http = Optional.of(stream);
        if (send.over) {
            stream.close();
        }
        return send;
    }

    /** Drops the connection; nothing is heard of it any more. */
    @Override
    public void close() {
        over = true;
        http.ifPresent(HttpStream::close);
    }

    private boolean isSeries() {
        return streams && head.isSuccess();
    }

    private void unusable(String reason) {
        if (over) {
            return;
        }
        close();
        listener.lost(reason);
    }

    /** Reads the answer's bytes. */
    private final class Bytes implements HttpStreamListener {
        @Override
        public void head(HttpHead received) {
            if (over) {
                return;
            }
            head = received;
            word = dialect.parseAnswerMetadata(received);
            if (word.isNotRun()) {
                if (!word.isWrongServer()) {
                    listener.head(word);
                }
                return;
            }
            if (word.requestId().isPresent() && !word.requestId().get().equals(request)) {
                unusable("the answer is to another request");
            } else if (received.isSuccess() && !word.isSigned()) {
                unusable("the answer bears no signature");
            } else {
                listener.head(word);
            }
        }

        @Override
        public void bytes(ByteBuffer part) throws IOException {
            if (over) {
                part.position(part.limit());
                return;
            }
            if (isSeries()) {
                splitter.take(
                        part,
                        (event, id) -> {
                            if (!over) {
                                listener.event(head, event, id);
                            }
                        });
                return;
            }
            if (body.size() + part.remaining() > MAX_ANSWER_BYTES) {
                throw new IOException("answer longer than " + MAX_ANSWER_BYTES + " bytes");
            }
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            body.writeBytes(bytes);
        }

        @Override
        public void end() {
            if (over) {
                return;
            }
            if (word.isNotRun()) {
                over = true;
                listener.refused(head, word);
            } else if (!isSeries()) {
                over = true;
                listener.answered(head, word, body.toByteArray());
            } else if (splitter.isAtEventEnd()) {
                over = true;
                listener.eventsEnded(head);
            } else {
                unusable("the answer ends within an event");
            }
        }

        @Override
        public void lost(boolean sent) {
            if (over) {
                return;
            }
            if (sent) {
                unusable("the connection broke");
                return;
            }
            over = true;
            listener.notSent();
        }
    }
}
