package org.masticweir.time;

import java.util.concurrent.TimeUnit;

/** The machine's clocks: monotonic for waits, wall time for records. */
enum SystemClock implements Clock {
    INSTANCE;

    @Override
    public long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }
}
