package org.masticweir.relay;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests under way, and whether the router is leaving; thread-safe. */
final class RequestCount {
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final AtomicBoolean closedToStreams = new AtomicBoolean();

    void begin() {
        count.incrementAndGet();
    }

    void end() {
        count.decrementAndGet();
    }

    int get() {
        return count.get();
    }

    void leave() {
        leaving.set(true);
    }

    /** From now on, streams could no longer end before the process does. */
    void closeToStreams() {
        closedToStreams.set(true);
    }

    boolean isClosedToStreams() {
        return closedToStreams.get();
    }

    boolean isLeaving() {
        return leaving.get();
    }
}
