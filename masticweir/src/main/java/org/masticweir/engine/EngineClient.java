package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import org.masticweir.http.AnswerPool;
import org.masticweir.http.HttpCall;
import org.masticweir.id.AttemptId;
import org.masticweir.id.GenerationId;
import org.xnio.XnioIoThread;

/**
 * Opens generation streams on engines; thread-safe.
 *
 * <p>Every stream lives on the I/O thread it was opened for, and its listener is called there.
 */
public final class EngineClient {
    /** Memory for the long lines of all streams, in bytes. */
    private static final long LINE_POOL_BYTES = 16 << 20;

    private final AnswerPool lines = AnswerPool.of(LINE_POOL_BYTES);
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
        HttpCall call =
                new HttpCall(
                        "POST",
                        address,
                        "/v1/generations",
                        ImmutableMap.of("Content-Type", "application/json"),
                        AttemptBody.of(attempt));
        return EngineStream.open(thread, buffers, call, connectTimeoutMs, lines, listener);
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
        HttpCall call = HttpCall.get(address, path);
        return EngineStream.open(thread, buffers, call, connectTimeoutMs, lines, listener);
    }

    /** Returns the path of a generation on an engine. */
    public static String pathOf(GenerationId generation) {
        return "/v1/generations/" + generation.request() + "/" + generation.number();
    }
}
