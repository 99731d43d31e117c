package org.masticweir.standins.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The bytes on their way in one direction of a connection, in order, each with the time from which
 * it may pass; the end of the stream is queued like a byte. Confined to the event loop.
 */
final class Pipe {
    /** Most bytes held; 500 connections full both ways hold 32 MB. */
    static final int MAX_QUEUED_BYTES = 32 * 1024;

    private static final int END_OF_STREAM = -1;

    private final Deque<Chunk> queue = new ArrayDeque<>();
    private int queuedBytes;
    private long endDueMs;
    private boolean ended;
    private boolean finished;

    boolean wantsBytes() {
        return !ended && queuedBytes < MAX_QUEUED_BYTES;
    }

    /** Tells whether the end of the stream has passed. */
    boolean isFinished() {
        return finished;
    }

    /** Tells whether something waits whose time has come. */
    boolean hasDue(long nowMs) {
        if (queue.isEmpty()) {
            return ended && !finished && endDueMs <= nowMs;
        }
        return queue.peek().dueMs() <= nowMs;
    }

    /**
     * Reads once from {@code source}; what comes may pass from {@code dueMs} on.
     *
     * @return whether bytes or the end of the stream came
     */
    boolean read(SocketChannel source, ByteBuffer scratch, long dueMs) throws IOException {
        scratch.clear().limit(MAX_QUEUED_BYTES - queuedBytes);
        int count = source.read(scratch);
        if (count == END_OF_STREAM) {
            ended = true;
            endDueMs = dueMs;
        } else if (count > 0) {
            ByteBuffer bytes = ByteBuffer.allocate(count).put(scratch.flip()).flip();
            queue.add(new Chunk(bytes, dueMs));
            queuedBytes += count;
        }
        return count != 0;
    }

    /** Writes what is due and fits, and returns the number of bytes written. */
    long write(SocketChannel sink, long nowMs) throws IOException {
        long written = 0;
        while (!queue.isEmpty() && queue.peek().dueMs() <= nowMs) {
            ByteBuffer bytes = queue.peek().bytes();
            written += sink.write(bytes);
            if (bytes.hasRemaining()) {
                break;
            }
            queue.remove();
        }
        queuedBytes -= (int) written;
        if (queue.isEmpty() && hasDue(nowMs)) {
            sink.shutdownOutput();
            finished = true;
        }
        return written;
    }

    private record Chunk(ByteBuffer bytes, long dueMs) {}
}
