package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.masticweir.error.RetryAdvice;
import org.masticweir.generation.Frame;
import org.masticweir.http.AnswerLimitException;
import org.masticweir.http.AnswerPool;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpStream;
import org.masticweir.http.HttpStreamListener;
import org.xnio.XnioIoThread;

/**
 * One stream of frames from an engine.
 *
 * <p>All of it runs on one I/O thread; {@link #close} must be called there too. After {@code close}
 * the listener hears nothing more.
 */
public final class EngineStream implements AutoCloseable {
    private static final int MAX_ERROR_BYTES = 16 * 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final StreamListener listener;
    private final FrameReader reader;
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private final HttpStream http;

    private int status;
    private boolean over;

    private EngineStream(
            XnioIoThread thread,
            ByteBufferPool buffers,
            HttpCall call,
            long connectTimeoutMs,
            AnswerPool lines,
            StreamListener listener) {
        this.listener = checkNotNull(listener, "listener");
        reader = new FrameReader(lines);
        http = HttpStream.open(thread, buffers, call, connectTimeoutMs, new Bytes());
    }

    /**
     * Opens a stream.
     *
     * @param lines memory that long lines of all streams share
     */
    static EngineStream open(
            XnioIoThread thread,
            ByteBufferPool buffers,
            HttpCall call,
            long connectTimeoutMs,
            AnswerPool lines,
            StreamListener listener) {
        return new EngineStream(thread, buffers, call, connectTimeoutMs, lines, listener);
    }

    @Override
    public void close() {
        markOver();
        http.close();
    }

    private void markOver() {
        over = true;
        reader.close();
    }

    private void onFrame(Frame frame) {
        if (over) {
            return;
        }
        if (frame instanceof Frame.End) {
            close();
        }
        listener.frame(frame);
    }

    private void onRefusal() {
        EngineRefusal refusal = EngineRefusal.of(status, errorBody.toByteArray());
        if (refusal.unknownGeneration()) {
            listener.unknown();
        } else if (refusal.certain()) {
            listener.refused(refusal.retryAfterMs());
        } else {
            listener.lost(true);
        }
    }

    /** Turns the answer's bytes into frames, or into the engine's refusal. */
    private final class Bytes implements HttpStreamListener {
        @Override
        public void head(HttpHead head) {
            status = head.status();
        }

        @Override
        public void bytes(ByteBuffer part) throws IOException {
            if (status == StatusCodes.OK) {
                reader.read(part, EngineStream.this::onFrame);
                return;
            }
            if (part.remaining() > MAX_ERROR_BYTES - errorBody.size()) {
                throw new AnswerLimitException(
                        "error answer longer than " + MAX_ERROR_BYTES + " bytes");
            }
            while (part.hasRemaining()) {
                errorBody.write(part.get());
            }
        }

        @Override
        public void end() {
            if (over) {
                return;
            }
            markOver();
            if (status == StatusCodes.OK) {
                // The body ended without an end frame: the engine's side gave up on the stream.
                listener.lost(true);
            } else {
                onRefusal();
            }
        }

        @Override
        public void lost(boolean sent) {
            if (!over) {
                markOver();
                listener.lost(sent);
            }
        }
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
            return new EngineRefusal(unknown, refused, RetryAdvice.ms(json));
        }
    }
}
