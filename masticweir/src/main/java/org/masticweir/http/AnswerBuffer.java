package org.masticweir.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/** The body of an answer while it is read; not thread-safe. */
public final class AnswerBuffer implements AutoCloseable {
    /** Bytes that an answer may have without a share of the pool. */
    static final int SHORT_ANSWER_BYTES = 64 << 10;

    private final int maxBytes;
    private final AnswerPool pool;
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long pooledBytes;

    /**
     * Creates an empty buffer.
     *
     * @param maxBytes longest body
     */
    public AnswerBuffer(int maxBytes, AnswerPool pool) {
        checkArgument(maxBytes >= 1, "longest body %s bytes", maxBytes);
        this.maxBytes = maxBytes;
        this.pool = checkNotNull(pool, "pool");
    }

    /**
     * Appends what {@code part} holds.
     *
     * @throws IOException if the body becomes too long, or the pool has no room for it
     */
    public void append(ByteBuffer part) throws IOException {
        int size = bytes.size() + part.remaining();
        if (size > maxBytes) {
            throw new AnswerLimitException("answer longer than " + maxBytes + " bytes");
        }
        long required = Math.max(0, size - SHORT_ANSWER_BYTES) - pooledBytes;
        if (required > 0) {
            if (!pool.take(required)) {
                throw new AnswerLimitException(
                        "no memory for answers of more than " + size + " bytes");
            }
            pooledBytes += required;
        }
        byte[] next = new byte[part.remaining()];
        part.get(next);
        bytes.writeBytes(next);
    }

    /** Returns a copy of the body so far. */
    public byte[] toByteArray() {
        return bytes.toByteArray();
    }

    /** Gives the memory back to the pool. */
    @Override
    public void close() {
        pool.putBack(pooledBytes);
        pooledBytes = 0;
        // A reset would keep the array for as long as the exchange is referenced.
        bytes = new ByteArrayOutputStream();
    }
}
