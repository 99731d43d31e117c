package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/** Collects an answer's body up to a bound; runs on the connection's I/O thread. */
final class BodyReader implements ChannelListener<StreamSourceChannel> {
    /** Longest answer accepted; a document of the largest size fits. */
    static final int MAX_ANSWER_BYTES = 16 << 20;

    private final ByteBufferPool buffers;
    private final Consumer<String> done;
    private final Consumer<IOException> failed;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private BodyReader(
            ByteBufferPool buffers, Consumer<String> done, Consumer<IOException> failed) {
        this.buffers = checkNotNull(buffers, "buffers");
        this.done = checkNotNull(done, "done");
        this.failed = checkNotNull(failed, "failed");
    }

    static BodyReader of(
            ByteBufferPool buffers, Consumer<String> done, Consumer<IOException> failed) {
        return new BodyReader(buffers, done, failed);
    }

    /** Reads what is there and goes on as more arrives. */
    void start(StreamSourceChannel source) {
        source.getReadSetter().set(this);
        handleEvent(source);
    }

    @Override
    public void handleEvent(StreamSourceChannel source) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            int n = drain(source, pooled.getBuffer());
            if (n == 0) {
                source.resumeReads();
            } else {
                source.suspendReads();
                done.accept(bytes.toString(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            failed.accept(e);
        }
    }

    private int drain(StreamSourceChannel source, ByteBuffer buffer) throws IOException {
        int n = source.read(buffer);
        while (n > 0) {
            bytes.write(buffer.array(), buffer.arrayOffset(), n);
            if (bytes.size() > MAX_ANSWER_BYTES) {
                throw new IOException("answer longer than " + MAX_ANSWER_BYTES + " bytes");
            }
            buffer.clear();
            n = source.read(buffer);
        }
        return n;
    }
}
