package org.masticweir.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The frames that wait to be written to one link, bounded in bytes; thread-safe.
 *
 * <p>A peer that is slow or paused shows as a socket that takes no more bytes. The bound keeps its
 * backlog from taking the heap: further messages are refused, and the sender hears of it at once.
 */
final class Outbox {
    private final int maxBytes;
    private final ArrayDeque<ByteBuffer> frames = new ArrayDeque<>();
    private int queuedBytes;

    Outbox(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Queues {@code frame} unless the queue would pass its bound; an empty one takes any frame. */
    synchronized boolean offer(byte[] frame) {
        if (queuedBytes > 0 && queuedBytes + frame.length > maxBytes) {
            return false;
        }
        frames.add(ByteBuffer.wrap(frame));
        queuedBytes += frame.length;
        return true;
    }

    /** Copies as many queued bytes as fit into {@code to}, many small frames into one write. */
    synchronized void copyTo(ByteBuffer to) {
        Iterator<ByteBuffer> it = frames.iterator();
        while (it.hasNext() && to.hasRemaining()) {
            ByteBuffer b = it.next().duplicate();
            b.limit(Math.min(b.limit(), b.position() + to.remaining()));
            to.put(b);
        }
    }

    /** Drops the first {@code bytes}, which were written. */
    synchronized void written(int bytes) {
        queuedBytes -= bytes;
        int left = bytes;
        while (left > 0) {
            ByteBuffer b = frames.peek();
            int n = Math.min(left, b.remaining());
            b.position(b.position() + n);
            left -= n;
            if (!b.hasRemaining()) {
                frames.remove();
            }
        }
    }

    synchronized boolean isEmpty() {
        return frames.isEmpty();
    }

    synchronized void clear() {
        frames.clear();
        queuedBytes = 0;
    }
}
