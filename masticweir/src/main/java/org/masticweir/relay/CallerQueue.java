package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.masticweir.http.AnswerPool;

/**
 * Events of one stream that wait until its caller reads; not thread-safe.
 *
 * <p>Short events are joined in blocks, so that the memory in use is hardly more than the bytes
 * that wait, however short the events are. Memory beyond a small share comes from a pool, so that
 * many callers that do not read cannot exhaust it together.
 */
final class CallerQueue implements AutoCloseable {
    /** Limit on the memory of one queue; larger than any answer to a request. */
    static final int MAX_BYTES = 4 << 20;

    /** Memory that a queue uses without a share of the pool. */
    static final int SHORT_QUEUE_BYTES = 64 << 10;

    private static final int BLOCK_BYTES = 4 << 10;

    private final AnswerPool pool;
    private final Deque<Block> blocks = new ArrayDeque<>();
    private int memoryBytes;
    private int pooledBytes;
    private int queuedBytes;
    private long writtenBytes;
    private int writtenEvents;

    /** Whole events, the first of which may be written in part. */
    private static final class Block {
        private final byte[] bytes;
        private int start;
        private int end;
        private int events;

        Block(int capacity) {
            bytes = new byte[capacity];
        }

        int free() {
            return bytes.length - end;
        }

        void add(ByteBuffer event) {
            int size = event.remaining();
            event.get(bytes, end, size);
            end += size;
            events++;
        }
    }

    CallerQueue(AnswerPool pool) {
        this.pool = checkNotNull(pool, "pool");
    }

    /** Adds an event; returns false, and adds nothing, if there is no memory for it. */
    boolean add(ByteBuffer event) {
        int size = event.remaining();
        if (blocks.isEmpty() || blocks.getLast().free() < size) {
            int capacity = blocks.isEmpty() ? size : Math.max(size, BLOCK_BYTES);
            if (!reserve(capacity)) {
                return false;
            }
            blocks.add(new Block(capacity));
        }
        blocks.getLast().add(event);
        queuedBytes += size;
        return true;
    }

    /** Writes as much as {@code sink} takes; returns whether nothing is left. */
    boolean writeTo(WritableByteChannel sink) throws IOException {
        while (!blocks.isEmpty()) {
            Block first = blocks.getFirst();
            ByteBuffer left = ByteBuffer.wrap(first.bytes, first.start, first.end - first.start);
            int count = sink.write(left);
            first.start += count;
            queuedBytes -= count;
            writtenBytes += count;
            if (left.hasRemaining()) {
                return false;
            }
            blocks.removeFirst();
            writtenEvents += first.events;
            release(first.bytes.length);
        }
        return true;
    }

    /** Returns the bytes that wait. */
    int queuedBytes() {
        return queuedBytes;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    /** Returns the number of events that were written, without those of a block written in part. */
    int writtenEvents() {
        return writtenEvents;
    }

    /** Drops what waits, and gives its memory back. */
    @Override
    public void close() {
        blocks.clear();
        release(memoryBytes);
    }

    private boolean reserve(int bytes) {
        int needed = memoryBytes + bytes;
        int pooled = Math.max(0, needed - SHORT_QUEUE_BYTES);
        if (needed > MAX_BYTES || !pool.take(pooled - pooledBytes)) {
            return false;
        }
        memoryBytes = needed;
        pooledBytes = pooled;
        return true;
    }

    private void release(int bytes) {
        memoryBytes -= bytes;
        int pooled = Math.max(0, memoryBytes - SHORT_QUEUE_BYTES);
        pool.putBack(pooledBytes - pooled);
        pooledBytes = pooled;
    }
}
