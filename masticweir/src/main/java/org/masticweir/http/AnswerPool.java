package org.masticweir.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory that long answers share while they are read; thread-safe.
 *
 * <p>Prevents many answers without end, each within the limit of one, from exhausting the memory
 * together. Short answers take nothing from the pool, so they are read also while it is empty.
 */
public final class AnswerPool {
    private final AtomicLong freeBytes;

    private AnswerPool(long bytes) {
        freeBytes = new AtomicLong(bytes);
    }

    /** Returns a pool of {@code bytes}. */
    public static AnswerPool of(long bytes) {
        checkArgument(bytes >= 0, "pool of %s bytes", bytes);
        return new AnswerPool(bytes);
    }

    /** Takes {@code bytes} if there are as many; returns whether it did. */
    public boolean take(long bytes) {
        long left = freeBytes.addAndGet(-bytes);
        if (left < 0) {
            freeBytes.addAndGet(bytes);
            return false;
        }
        return true;
    }

    /** Gives back what was taken. */
    public void putBack(long bytes) {
        freeBytes.addAndGet(bytes);
    }

    /** Returns how much is free now. */
    public long freeBytes() {
        return freeBytes.get();
    }
}
