package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import org.masticweir.id.AttemptId;
import org.masticweir.id.GenerationId;
import org.xnio.XnioIoThread;

/**
 * Opens generation streams on engines; thread-safe.
 *
 * <p>Every stream lives on the I/O thread it was opened for, and its listener is called there.
 */
public final class EngineClient {
    private final ByteBufferPool buffers;
    private final long connectTimeoutMs;

    private EngineClient(ByteBufferPool buffers, long connectTimeoutMs) {
        this.buffers = checkNotNull(buffers, "buffers");
        this.connectTimeoutMs = connectTimeoutMs;
    }

    public static EngineClient of(ByteBufferPool buffers, long connectTimeoutMs) {
        return new EngineClient(buffers, connectTimeoutMs);
    }

    /** Sends an attempt to the engine at {@code address}. */
    public EngineStream send(
            XnioIoThread thread,
            InetSocketAddress address,
            AttemptRequest attempt,
            StreamListener listener) {
        byte[] body = AttemptBody.of(attempt);
        ClientRequest request = request(Methods.POST, "/v1/generations", address);
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        return open(thread, address, request, body, listener);
    }

    /** Reads the stream of a generation that the engine may still hold, from {@code from} on. */
    public EngineStream reread(
            XnioIoThread thread,
            InetSocketAddress address,
            AttemptId attempt,
            int from,
            StreamListener listener) {
        String path =
                pathOf(attempt.generation()) + "?from=" + from + "&attempt=" + attempt.number();
        ClientRequest request = request(Methods.GET, path, address);
        return open(thread, address, request, new byte[0], listener);
    }

    /** Returns the path of a generation on an engine. */
    public static String pathOf(GenerationId generation) {
        return "/v1/generations/" + generation.request() + "/" + generation.number();
    }

    private EngineStream open(
            XnioIoThread thread,
            InetSocketAddress address,
            ClientRequest request,
            byte[] body,
            StreamListener listener) {
        EngineStream stream = new EngineStream(thread, request, body, listener);
        stream.open(address, buffers, connectTimeoutMs);
        return stream;
    }

    private static ClientRequest request(
            HttpString method, String path, InetSocketAddress address) {
        ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
        String host = address.getAddress().getHostAddress() + ":" + address.getPort();
        request.getRequestHeaders().put(Headers.HOST, host);
        return request;
    }
}
