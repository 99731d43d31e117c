package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.ChannelListeners;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP exchange on a connection of its own, whose answer is heard as it arrives.
 *
 * <p>All of it runs on one I/O thread; {@link #close} must be called there too. After {@code close}
 * the listener hears nothing more.
 */
public final class HttpStream implements AutoCloseable {
    /** Bytes after which other connections of the thread take their turn. */
    private static final int BYTES_PER_TURN = 256 << 10;

    /** Reads after which they do, too; one read may return a single short chunk. */
    private static final int READS_PER_TURN = 4_096;

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final InetSocketAddress address;
    private final Connector connector;
    private final Supplier<Optional<HttpCall>> call;
    private final HttpStreamListener listener;

    private Optional<TurnTimer> connectTimer = Optional.empty();
    private Optional<ClientConnection> connection = Optional.empty();
    private Optional<StreamSourceChannel> answer = Optional.empty();

    /** Bytes that the listener left in its last turn, in read mode. */
    private Optional<PooledByteBuffer> unread = Optional.empty();

    private AnswerFraming framing;
    private boolean sent;
    private boolean over;
    private boolean isAnswerCut;

    /** Opens the connection of one exchange. */
    @FunctionalInterface
    public interface Connector {
        /** Opens a connection and reports it, or the failure, on the thread of the exchange. */
        void connect(ClientCallback<ClientConnection> callback);
    }

    private HttpStream(
            XnioIoThread thread,
            ByteBufferPool buffers,
            InetSocketAddress address,
            Connector connector,
            Supplier<Optional<HttpCall>> call,
            HttpStreamListener listener) {
        this.thread = checkNotNull(thread, "thread");
        this.buffers = checkNotNull(buffers, "buffers");
        this.address = checkNotNull(address, "address");
        this.connector = checkNotNull(connector, "connector");
        this.call = checkNotNull(call, "call");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Opens a connection, within {@code connectTimeoutMs}, and sends {@code call} on it. */
    public static HttpStream open(
            XnioIoThread thread,
            ByteBufferPool buffers,
            HttpCall call,
            long connectTimeoutMs,
            HttpStreamListener listener) {
        return open(
                thread,
                buffers,
                call.address(),
                () -> Optional.of(call),
                connectTimeoutMs,
                listener);
    }

    /**
     * Opens a connection to {@code address}, within {@code connectTimeoutMs}, and sends on it what
     * {@code call} returns then.
     *
     * <p>Failure guarded against: what held when the connection was asked for, such as the time
     * that is left, no longer holds when the server takes it.
     *
     * @param call asked once, on {@code thread}; if it returns nothing, the stream is closed
     */
    public static HttpStream open(
            XnioIoThread thread,
            ByteBufferPool buffers,
            InetSocketAddress address,
            Supplier<Optional<HttpCall>> call,
            long connectTimeoutMs,
            HttpStreamListener listener) {
        Connector connector = callback -> Dialer.tcp().dial(address, thread, buffers, callback);
        return open(thread, buffers, address, connector, call, connectTimeoutMs, listener);
    }

    /**
     * Opens a connection with {@code connector}, within {@code connectTimeoutMs}, and sends on it
     * what {@code call} returns then.
     *
     * @param address address of the server, for the host field of a call without one
     * @param call asked once, on {@code thread}; if it returns nothing, the stream is closed
     */
    public static HttpStream open(
            XnioIoThread thread,
            ByteBufferPool buffers,
            InetSocketAddress address,
            Connector connector,
            Supplier<Optional<HttpCall>> call,
            long connectTimeoutMs,
            HttpStreamListener listener) {
        HttpStream stream = new HttpStream(thread, buffers, address, connector, call, listener);
        stream.connect(connectTimeoutMs);
        return stream;
    }

    /** Returns whether the exchange was lost because its answer exceeds a limit of this process. */
    public boolean isAnswerCut() {
        return isAnswerCut;
    }

    /** Returns what is malformed if the exchange was lost because of that. */
    public Optional<String> malformation() {
        return framing == null ? Optional.empty() : framing.malformation();
    }

    /** Returns whether bytes of the answer came. */
    public boolean hasAnswerBytes() {
        return framing != null && framing.hasReceivedBytes();
    }

    @Override
    public void close() {
        over = true;
        connectTimer.ifPresent(TurnTimer::cancel);
        connection.ifPresent(Dialer::discard);
        unread.ifPresent(PooledByteBuffer::close);
        unread = Optional.empty();
    }

    private void connect(long timeoutMs) {
        connectTimer = Optional.of(TurnTimer.start(thread, timeoutMs, this::lost));
        connector.connect(callback(this::onConnected));
    }

    private void onConnected(ClientConnection connected) {
        connectTimer.ifPresent(TurnTimer::cancel);
        if (over) {
            Dialer.discard(connected);
            return;
        }
        connection = Optional.of(connected);
        Optional<HttpCall> wanted = call.get();
        if (over) {
            return;
        }
        if (wanted.isEmpty()) {
            close();
            return;
        }
        connected.getCloseSetter().set(c -> closed());
        sent = true;
        framing = AnswerFraming.of(connected);
        HttpCall sending = wanted.get();
        framing.exchangeStarted(sending);
        connected.sendRequest(request(sending), callback(ex -> onSent(ex, sending.body())));
    }

    private ClientRequest request(HttpCall call) {
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
        call.headers().addTo(request.getRequestHeaders());
        if (!request.getRequestHeaders().contains(Headers.HOST)) {
            request.getRequestHeaders().put(Headers.HOST, Dialer.hostAndPort(address));
        }
        if (call.body().length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    private void onSent(ClientExchange exchange, byte[] body) {
        exchange.setResponseListener(callback(this::onResponse));
        if (body.length > 0) {
            writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(body));
        } else {
            framing.requestWritten();
        }
    }

    private void writeBody(StreamSinkChannel sink, ByteBuffer left) {
        try {
            while (left.hasRemaining()) {
                if (sink.write(left) == 0) {
                    sink.getWriteSetter().set(ch -> writeBody(ch, left));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (sink.flush()) {
                framing.requestWritten();
                return;
            }
            sink.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    ch -> framing.requestWritten(), (ch, e) -> lost()));
            sink.resumeWrites();
        } catch (IOException e) {
            lost();
        }
    }

    private void onResponse(ClientExchange exchange) {
        if (over) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        HttpHeaders headers = HttpHeaders.copyOf(response.getResponseHeaders());
        listener.head(new HttpHead(response.getResponseCode(), headers));
        if (over) {
            return;
        }
        StreamSourceChannel source = exchange.getResponseChannel();
        answer = Optional.of(source);
        source.getReadSetter().set(this::read);
        source.resumeReads();
        read(source);
    }

    private void read(StreamSourceChannel source) {
        if (readTurn(source)) {
            source.suspendReads();
            TurnQueue.of(thread)
                    .add(
                            () -> {
                                if (!over) {
                                    source.resumeReads();
                                    read(source);
                                }
                            });
        }
    }

    /** Reads for one turn; returns whether there may be more to read at once. */
    private boolean readTurn(StreamSourceChannel source) {
        PooledByteBuffer pooled = unread.orElseGet(this::allocateEmpty);
        unread = Optional.empty();
        ByteBuffer buffer = pooled.getBuffer();
        boolean hasMore = false;
        try {
            hasMore = readTurn(source, buffer);
        } catch (IOException e) {
            isAnswerCut = e instanceof AnswerLimitException;
            lost();
        } finally {
            if (!over && buffer.hasRemaining()) {
                unread = Optional.of(pooled);
            } else {
                pooled.close();
            }
        }
        return hasMore && !over;
    }

    private boolean readTurn(StreamSourceChannel source, ByteBuffer buffer) throws IOException {
        int reads = 0;
        int bytes = 0;
        while (!over) {
            if (!buffer.hasRemaining()) {
                if (reads == READS_PER_TURN || bytes >= BYTES_PER_TURN) {
                    return true;
                }
                if (!readInto(source, buffer)) {
                    return false;
                }
                reads++;
                bytes += buffer.remaining();
            }
            listener.bytes(buffer);
            if (buffer.hasRemaining()) {
                return true;
            }
        }
        return false;
    }

    /** Reads what there is of the body; returns false if there is nothing now, or no more. */
    private boolean readInto(StreamSourceChannel source, ByteBuffer buffer) throws IOException {
        buffer.clear();
        int count = source.read(buffer);
        buffer.flip();
        if (count < 0) {
            close();
            listener.end();
        }
        return count > 0;
    }

    private PooledByteBuffer allocateEmpty() {
        PooledByteBuffer pooled = buffers.allocate();
        pooled.getBuffer().limit(0);
        return pooled;
    }

    /**
     * Takes word that the connection has closed.
     *
     * <p>Failure guarded against: a server that is leaving answers and closes, and its answer
     * passes for lost. The client closes such a connection while it is still giving out the last
     * bytes, and tells of the close before them. What can be read is therefore read first.
     */
    private void closed() {
        if (answer.isEmpty()) {
            lost();
            return;
        }
        thread.execute(this::readToLoss);
    }

    private void readToLoss() {
        if (!over && readTurn(answer.get())) {
            TurnQueue.of(thread).add(this::readToLoss);
        } else {
            lost();
        }
    }

    private void lost() {
        if (over) {
            return;
        }
        isAnswerCut = isAnswerCut || (framing != null && framing.isExceeded());
        close();
        listener.lost(sent);
    }

    private <T> ClientCallback<T> callback(Consumer<T> step) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                step.accept(result);
            }

            @Override
            public void failed(IOException e) {
                // Also called within the read that finds the regular end of the answer.
                closed();
            }
        };
    }
}
