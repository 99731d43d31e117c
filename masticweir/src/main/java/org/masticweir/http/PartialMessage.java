package org.masticweir.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Bytes of one message of a stream, such as a line or an event, that is not complete yet; not
 * thread-safe.
 *
 * <p>Its length is limited, and long messages take memory from a pool, so that neither one message
 * without an end nor many of them exhaust the memory.
 */
public final class PartialMessage implements AutoCloseable {
    /** Size up to which a message takes nothing from the pool. */
    static final int SHORT_MESSAGE_BYTES = 64 << 10;

    private static final int INITIAL_BYTES = 512;

    private final int maxBytes;
    private final AnswerPool pool;
    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;
    private long pooledBytes;

    /**
     * Creates an empty message.
     *
     * @param maxBytes longest message
     * @param pool memory that long messages share
     */
    public PartialMessage(int maxBytes, AnswerPool pool) {
        checkArgument(maxBytes >= 1, "longest message %s bytes", maxBytes);
        this.maxBytes = maxBytes;
        this.pool = checkNotNull(pool, "pool");
    }

    /**
     * Appends {@code b}.
     *
     * @throws IOException if the message becomes too long, or the pool has no room for it
     */
    public void append(byte b) throws IOException {
        reserve(1);
        bytes[length] = b;
        length++;
    }

    /**
     * Appends the next {@code count} bytes of {@code in}.
     *
     * @throws IOException if the message becomes too long, or the pool has no room for it
     */
    public void append(ByteBuffer in, int count) throws IOException {
        reserve(count);
        in.get(bytes, length, count);
        length += count;
    }

    /** Returns the bytes, of which the first {@link #length} count; valid until the next change. */
    public byte[] array() {
        return bytes;
    }

    public int length() {
        return length;
    }

    /** Begins the next message and gives the memory of a long one back to the pool. */
    public void clear() {
        length = 0;
        if (pooledBytes > 0) {
            pool.putBack(pooledBytes);
            pooledBytes = 0;
            bytes = new byte[INITIAL_BYTES];
        }
    }

    /** Gives the memory back to the pool. */
    @Override
    public void close() {
        clear();
    }

    private void reserve(int count) throws IOException {
        if (count > maxBytes - length) {
            throw new AnswerLimitException("message longer than " + maxBytes + " bytes");
        }
        if (length + count > bytes.length) {
            grow(Math.max(length + count, bytes.length * 2));
        }
    }

    private void grow(int size) throws IOException {
        long required = size <= SHORT_MESSAGE_BYTES ? 0 : size - pooledBytes;
        if (!pool.take(required)) {
            throw new AnswerLimitException(
                    "no memory for a message of more than " + length + " bytes");
        }
        pooledBytes += required;
        bytes = Arrays.copyOf(bytes, size);
    }
}
