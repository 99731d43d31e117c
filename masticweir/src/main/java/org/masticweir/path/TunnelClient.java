package org.masticweir.path;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticweir.http.Dialer;
import org.masticweir.http.IpAddress;
import org.masticweir.http.TurnTimer;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * Opens a tunnel to a server through another router; runs on the traffic thread.
 *
 * <p>The request for the tunnel is an HTTP exchange. The same connection then carries the bytes
 * between this router and the server.
 */
final class TunnelClient {
    static final String PATH_PREFIX = "/tunnel/";

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Consumer<Result> callback;
    private TurnTimer timer;
    private Optional<ClientConnection> connection = Optional.empty();
    private boolean isDone;

    /**
     * Result of one request for a tunnel.
     *
     * @param connection the connection to the server; present if the status is {@code OPEN}
     */
    record Result(TunnelStatus status, Optional<ClientConnection> connection) {}

    private TunnelClient(XnioIoThread thread, ByteBufferPool buffers, Consumer<Result> callback) {
        this.thread = checkNotNull(thread, "thread");
        this.buffers = checkNotNull(buffers, "buffers");
        this.callback = checkNotNull(callback, "callback");
    }

    /** Requests a tunnel to {@code server}; {@code callback} receives the result once. */
    static void open(
            Dialer dialer,
            XnioIoThread thread,
            ByteBufferPool buffers,
            TunnelOffer offer,
            InetSocketAddress server,
            long timeoutMs,
            Consumer<Result> callback) {
        TunnelClient client = new TunnelClient(thread, buffers, callback);
        client.timer = TurnTimer.start(thread, timeoutMs, () -> client.fail(TunnelStatus.NO_REPLY));
        dialer.dial(
                offer.address(),
                thread,
                buffers,
                client.callback(c -> client.sendRequest(c, offer, server)));
    }

    private void sendRequest(
            ClientConnection connected, TunnelOffer offer, InetSocketAddress server) {
        if (isDone) {
            Dialer.discard(connected);
            return;
        }
        connection = Optional.of(connected);
        String path = PATH_PREFIX + offer.key() + "/" + IpAddress.text(server);
        ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, IpAddress.text(offer.address()));
        connected.sendRequest(
                request, callback(ex -> ex.setResponseListener(callback(this::readReply))));
    }

    private void readReply(ClientExchange exchange) {
        if (isDone) {
            return;
        }
        TunnelStatus status = TunnelStatus.ofCode(exchange.getResponse().getResponseCode());
        if (status != TunnelStatus.OPEN) {
            fail(status);
            return;
        }
        StreamSourceChannel body = exchange.getResponseChannel();
        body.getReadSetter().set(this::readBody);
        body.resumeReads();
        readBody(body);
    }

    /** Reads the end of the reply, which frees the connection for the next exchange. */
    private void readBody(StreamSourceChannel body) {
        if (isDone) {
            return;
        }
        try (PooledByteBuffer pooled = buffers.allocate()) {
            int count = body.read(pooled.getBuffer());
            if (count < 0) {
                isDone = true;
                timer.cancel();
                callback.accept(new Result(TunnelStatus.OPEN, connection));
            } else if (count > 0) {
                fail(TunnelStatus.NO_REPLY);
            }
        } catch (IOException e) {
            fail(TunnelStatus.NO_REPLY);
        }
    }

    private void fail(TunnelStatus status) {
        if (isDone) {
            return;
        }
        isDone = true;
        timer.cancel();
        connection.ifPresent(Dialer::discard);
        callback.accept(new Result(status, Optional.empty()));
    }

    private <T> ClientCallback<T> callback(Consumer<T> step) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                step.accept(result);
            }

            @Override
            public void failed(IOException e) {
                fail(TunnelStatus.NO_REPLY);
            }
        };
    }
}
