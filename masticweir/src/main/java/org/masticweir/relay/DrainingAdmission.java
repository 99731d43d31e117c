package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests under way, and decides which ones a router that leaves still takes;
 * thread-safe.
 *
 * <p>Failure that it answers: the balancer goes on sending for seconds after the order to leave,
 * and to the end where a domain has hardly another router. A request taken too late is cut off in
 * its middle when the process has to end. It is refused instead, while it has not run and its
 * caller has time to go elsewhere.
 */
final class DrainingAdmission {
    /** Time in which the balancer notices, in ms: two of its questions, a second apart, and one. */
    static final long BALANCER_DETECTION_MS = 3_000;

    /**
     * Time after the order in which streams are taken, in ms. Nothing bounds the length of a
     * stream: one that should end in time may wait at its engine. A part of the balancer's time is
     * kept for an order that is heard late.
     */
    static final long STREAM_ADMISSION_MS = BALANCER_DETECTION_MS - 200;

    /** Least time after which a refused caller may come back, in ms: here it has no chance. */
    private static final long MIN_RETRY_MS = 200;

    private final AtomicInteger inFlightCount = new AtomicInteger();
    private volatile boolean isDraining;
    private volatile boolean isClosed;
    private volatile long startedMs;
    private volatile long endsMs;

    void requestStarted() {
        inFlightCount.incrementAndGet();
    }

    void requestEnded() {
        inFlightCount.decrementAndGet();
    }

    int inFlightCount() {
        return inFlightCount.get();
    }

    /**
     * The router leaves: it was told to at {@code sinceMs}, and its requests end at {@code untilMs}
     * at the latest.
     */
    void startDraining(long sinceMs, long untilMs) {
        checkArgument(untilMs >= sinceMs, "leaves until %s, before %s", untilMs, sinceMs);
        startedMs = sinceMs;
        endsMs = untilMs;
        isDraining = true;
    }

    /** Takes nothing more; what is under way goes on. */
    void close() {
        isClosed = true;
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Returns whether a request that ends within {@code timeoutMs} is taken. */
    boolean admits(long timeoutMs, long nowMs) {
        if (isClosed || !isDraining) {
            return !isClosed;
        }
        return nowMs + timeoutMs < endsMs;
    }

    /**
     * Returns whether a stream is taken.
     *
     * @param expectedMs time in which it should end; empty if that is not known
     */
    boolean admitsStream(OptionalLong expectedMs, long nowMs) {
        if (isClosed || !isDraining) {
            return !isClosed;
        }
        return nowMs - startedMs < STREAM_ADMISSION_MS
                && expectedMs.isPresent()
                && nowMs + expectedMs.getAsLong() <= endsMs;
    }

    /** Returns the time since the order to leave, in ms. */
    long drainingForMs(long nowMs) {
        return nowMs - startedMs;
    }

    /** Returns the time until requests must have ended, in ms. */
    long remainingMs(long nowMs) {
        return endsMs - nowMs;
    }

    /** Returns the time until the balancer sends nothing more here, in ms. */
    long balancerDetectionLeftMs(long nowMs) {
        return Math.max(MIN_RETRY_MS, startedMs + BALANCER_DETECTION_MS - nowMs);
    }
}
