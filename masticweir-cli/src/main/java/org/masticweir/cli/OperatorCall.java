package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.masticweir.http.IpAddress;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * One call on one connection, from connecting to the last byte of the answer.
 *
 * <p>Runs on the connection's I/O thread; {@link #result} and {@link #failure} may be used from any
 * thread.
 */
final class OperatorCall implements ClientCallback<ClientConnection>, AutoCloseable {
    private final HttpString method;
    private final String path;
    private final String body;
    private final Optional<String> authorization;
    private final ByteBufferPool buffers;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private volatile ClientConnection connection;
    private volatile boolean closed;

    private OperatorCall(
            HttpString method,
            String path,
            String body,
            Optional<String> authorization,
            ByteBufferPool buffers) {
        this.method = checkNotNull(method, "method");
        this.path = checkNotNull(path, "path");
        this.body = checkNotNull(body, "body");
        this.authorization = checkNotNull(authorization, "authorization");
        this.buffers = checkNotNull(buffers, "buffers");
    }

    static OperatorCall get(String path, Optional<String> authorization, ByteBufferPool buffers) {
        return new OperatorCall(Methods.GET, path, "", authorization, buffers);
    }

    static OperatorCall post(
            String path, String body, Optional<String> authorization, ByteBufferPool buffers) {
        return new OperatorCall(Methods.POST, path, body, authorization, buffers);
    }

    CompletableFuture<CallResult> result() {
        return result;
    }

    /** Returns how a call ended that did not succeed: once connected it may have been sent. */
    CallResult failure(String why) {
        return connection == null ? CallResult.notReached(why) : CallResult.noAnswer(why);
    }

    @Override
    public void completed(ClientConnection opened) {
        connection = opened;
        if (closed) {
            // The caller gave up while connecting and said "not reached": send nothing, so that
            // this stays true.
            IoUtils.safeClose(opened);
            return;
        }
        opened.sendRequest(request(opened), then(this::write));
    }

    @Override
    public void failed(IOException e) {
        result.complete(failure(String.valueOf(e.getMessage())));
    }

    @Override
    public void close() {
        closed = true;
        IoUtils.safeClose(connection);
    }

    private ClientRequest request(ClientConnection opened) {
        ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, hostOf(opened));
        authorization.ifPresent(
                text -> request.getRequestHeaders().put(Headers.AUTHORIZATION, text));
        if (!body.isEmpty()) {
            long bytes = body.getBytes(StandardCharsets.UTF_8).length;
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, bytes);
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        return request;
    }

    private static String hostOf(ClientConnection opened) {
        return IpAddress.text(opened.getPeerAddress(InetSocketAddress.class));
    }

    private void write(ClientExchange exchange) {
        exchange.setResponseListener(then(this::read));
        StreamSinkChannel sink = exchange.getRequestChannel();
        if (!body.isEmpty()) {
            new StringWriteChannelListener(body, StandardCharsets.UTF_8).setup(sink);
            return;
        }
        try {
            sink.shutdownWrites();
            sink.flush();
        } catch (IOException e) {
            failed(e);
        }
    }

    private void read(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        BodyReader.of(
                        buffers,
                        text -> result.complete(CallResult.answered(status, text)),
                        this::failed)
                .start(exchange.getResponseChannel());
    }

    private ClientCallback<ClientExchange> then(Consumer<ClientExchange> step) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                step.accept(exchange);
            }

            @Override
            public void failed(IOException e) {
                OperatorCall.this.failed(e);
            }
        };
    }
}
