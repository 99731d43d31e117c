package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicInteger;
import org.masticweir.catalog.Route;

/**
 * Counts the requests under way, and decides which ones a router that leaves still takes;
 * thread-safe.
 *
 * <p>Failure that it answers: the balancer goes on sending for seconds after the order to leave,
 * and to the end where a domain has hardly another router. A request taken too late is cut off in
 * its middle when the process has to end. It is refused instead, while it has not run and its
 * caller has time to go elsewhere.
 */
final class RelayIntake {
    /**
     * Part of the time of grace for which streams are taken. A stream of 140 events takes 5.7 s as
     * a rule, of 8 s; its route's timeout of 25 s says nothing about it.
     */
    private static final int STREAMS_PART = 4;

    private final AtomicInteger underWay = new AtomicInteger();
    private volatile boolean leaving;
    private volatile boolean closed;
    private volatile long beganMs;
    private volatile long endsMs;

    void begin() {
        underWay.incrementAndGet();
    }

    void end() {
        underWay.decrementAndGet();
    }

    int underWay() {
        return underWay.get();
    }

    /**
     * The router leaves: it began to at {@code nowMs} and ends at {@code untilMs} at the latest.
     */
    void leave(long nowMs, long untilMs) {
        checkArgument(untilMs >= nowMs, "leaves until %s, before %s", untilMs, nowMs);
        beganMs = nowMs;
        endsMs = untilMs;
        leaving = true;
    }

    /** Takes nothing more; what is under way goes on. */
    void close() {
        closed = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Returns whether a request of {@code route} can still be served to its end. */
    boolean takes(Route route, long nowMs) {
        if (closed || !leaving) {
            return !closed;
        }
        long lastMs =
                route.streams()
                        ? beganMs + (endsMs - beganMs) / STREAMS_PART
                        : endsMs - route.timeoutMs();
        return nowMs < lastMs;
    }
}
