package org.masticweir.time;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that moves only when told, for replay of traces and for tests; thread-safe. */
public final class ManualClock implements Clock {
    private final AtomicLong now;

    private ManualClock(long startMs) {
        now = new AtomicLong(startMs);
    }

    public static ManualClock startingAt(long startMs) {
        return new ManualClock(startMs);
    }

    /** Moves the clock forward by {@code ms} milliseconds. */
    public void advanceMs(long ms) {
        checkArgument(ms >= 0, "cannot go back by %s ms", ms);
        now.addAndGet(ms);
    }

    @Override
    public long nowMs() {
        return now.get();
    }

    @Override
    public long wallMs() {
        return now.get();
    }
}
