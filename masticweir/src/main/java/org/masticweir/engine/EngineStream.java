package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.masticweir.generation.Frame;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP stream from an engine.
 *
 * <p>All of it runs on one I/O thread; {@link #close} must be called there too. After {@code close}
 * the listener hears nothing more.
 */
public final class EngineStream implements AutoCloseable {
    private static final int MAX_ERROR_BYTES = 16 * 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final XnioIoThread thread;
    private final ClientRequest request;
    private final byte[] body;
    private final StreamListener listener;
    private final FrameReader reader = new FrameReader();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();

    private ByteBufferPool buffers;
    private XnioExecutor.Key connectTimer;
    private ClientConnection connection;
    private boolean sent;
    private boolean over;

    EngineStream(XnioIoThread thread, ClientRequest request, byte[] body, StreamListener listener) {
        this.thread = checkNotNull(thread, "thread");
        this.request = checkNotNull(request, "request");
        this.body = checkNotNull(body, "body");
        this.listener = checkNotNull(listener, "listener");
    }

    void open(InetSocketAddress address, ByteBufferPool pool, long connectTimeoutMs) {
        buffers = pool;
        String host = address.getAddress().getHostAddress();
        URI uri = URI.create("http://" + host + ":" + address.getPort());
        connectTimer = thread.executeAfter(this::lost, connectTimeoutMs, TimeUnit.MILLISECONDS);
        OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
        UndertowClient.getInstance().connect(new ConnectCallback(), uri, thread, pool, options);
    }

    @Override
    public void close() {
        over = true;
        connectTimer.remove();
        IoUtils.safeClose(connection);
    }

    private void onConnected(ClientConnection connected) {
        connectTimer.remove();
        if (over) {
            IoUtils.safeClose(connected);
            return;
        }
        connection = connected;
        connection.getCloseSetter().set(c -> lost());
        sent = true;
        connection.sendRequest(request, new SentCallback());
    }

    private void onSent(ClientExchange exchange) {
        exchange.setResponseListener(new ResponseCallback());
        if (body.length == 0) {
            return;
        }
        StreamSinkChannel sink = exchange.getRequestChannel();
        ByteBuffer left = ByteBuffer.wrap(body);
        writeBody(sink, left);
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
            if (!sink.flush()) {
                sink.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(null, (ch, e) -> lost()));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            lost();
        }
    }

    private void onResponse(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        StreamSourceChannel source = exchange.getResponseChannel();
        source.getReadSetter().set(ch -> read(ch, status));
        source.resumeReads();
        read(source, status);
    }

    private void read(StreamSourceChannel source, int status) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!over) {
                buffer.clear();
                int count = source.read(buffer);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    onEnd(status);
                    return;
                }
                buffer.flip();
                take(buffer, status);
            }
        } catch (IOException e) {
            lost();
        }
    }

    private void take(ByteBuffer buffer, int status) throws IOException {
        if (status == StatusCodes.OK) {
            reader.read(buffer, this::onFrame);
            return;
        }
        while (buffer.hasRemaining() && errorBody.size() < MAX_ERROR_BYTES) {
            errorBody.write(buffer.get());
        }
        buffer.position(buffer.limit());
    }

    private void onFrame(Frame frame) {
        if (over) {
            return;
        }
        if (frame instanceof Frame.End) {
            over = true;
            IoUtils.safeClose(connection);
        }
        listener.frame(frame);
    }

    private void onEnd(int status) {
        if (over) {
            return;
        }
        if (status == StatusCodes.OK) {
            lost();
            return;
        }
        close();
        EngineRefusal refusal = EngineRefusal.of(status, errorBody.toByteArray());
        if (refusal.unknownGeneration()) {
            listener.unknown();
        } else if (refusal.certain()) {
            listener.refused(refusal.retryAfterMs());
        } else {
            listener.lost(true);
        }
    }

    private void lost() {
        if (over) {
            return;
        }
        close();
        listener.lost(sent);
    }

    /**
     * An engine's error answer.
     *
     * @param certain whether the engine says that the attempt was not admitted
     */
    private record EngineRefusal(boolean unknownGeneration, boolean certain, long retryAfterMs) {
        static EngineRefusal of(int status, byte[] body) {
            JsonNode json;
            try {
                json = MAPPER.readTree(body);
            } catch (IOException e) {
                return new EngineRefusal(false, false, 0);
            }
            // Only an explicit word of the engine makes a refusal certain; any other error may come
            // from something between that took the request as well.
            boolean refused = json.has("admitted") && !json.get("admitted").asBoolean(true);
            boolean unknown = status == StatusCodes.NOT_FOUND && !refused;
            return new EngineRefusal(unknown, refused, json.path("retry_after_ms").asLong());
        }
    }

    /** Hears whether the connection came up. */
    private final class ConnectCallback implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection result) {
            onConnected(result);
        }

        @Override
        public void failed(IOException e) {
            lost();
        }
    }

    /** Hears whether the request could be written. */
    private final class SentCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange result) {
            onSent(result);
        }

        @Override
        public void failed(IOException e) {
            lost();
        }
    }

    /** Hears the response's head. */
    private final class ResponseCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange result) {
            onResponse(result);
        }

        @Override
        public void failed(IOException e) {
            lost();
        }
    }
}
