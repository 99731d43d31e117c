package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Admission control of a router during its shutdown, with the count of requests in flight;
 * thread-safe.
 *
 * <p>The balancer continues to send requests for seconds after the shutdown request. If a domain
 * has hardly any other router, the balancer continues until the process exits. A request that is
 * admitted too late is interrupted by the exit of the process. The router therefore refuses such a
 * request before it runs, while its caller still has time to use another router.
 */
final class DrainingAdmission {
    /**
     * Time after which the balancer has detected the shutdown, in ms: two checks of the balancer, a
     * second apart, and one more.
     */
    static final long BALANCER_DETECTION_MS = 3_000;

    /**
     * Time after the shutdown request during which streams are admitted, in ms. The duration of a
     * stream has no upper limit: an engine may queue even a stream that is expected to end in time.
     * This time is 200 ms shorter than the balancer's detection time, because the shutdown request
     * may arrive late.
     */
    static final long STREAM_ADMISSION_MS = BALANCER_DETECTION_MS - 200;

    /**
     * Shortest retry delay for a refused caller, in ms: an earlier retry at this router can't
     * succeed.
     */
    private static final long MIN_RETRY_MS = 200;

    private final AtomicInteger inFlightCount = new AtomicInteger();
    private volatile boolean isDraining;
    private volatile boolean isClosed;
    private volatile long drainingSinceMs;
    private volatile long drainingUntilMs;

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
     * Starts the shutdown, which was requested at {@code sinceMs}; requests must end by {@code
     * untilMs}.
     */
    void startDraining(long sinceMs, long untilMs) {
        checkArgument(
                untilMs >= sinceMs,
                "draining ends at %s, before its start at %s",
                untilMs,
                sinceMs);
        drainingSinceMs = sinceMs;
        drainingUntilMs = untilMs;
        isDraining = true;
    }

    /** Refuses all further requests; those in flight continue. */
    void close() {
        isClosed = true;
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Returns whether a request that lasts at most {@code timeoutMs} is admitted. */
    boolean admits(long timeoutMs, long nowMs) {
        if (isClosed || !isDraining) {
            return !isClosed;
        }
        return nowMs + timeoutMs < drainingUntilMs;
    }

    /**
     * Returns whether a stream is admitted.
     *
     * @param expectedMs expected duration of the stream; empty if unknown
     */
    boolean admitsStream(OptionalLong expectedMs, long nowMs) {
        if (isClosed || !isDraining) {
            return !isClosed;
        }
        return nowMs - drainingSinceMs < STREAM_ADMISSION_MS
                && expectedMs.isPresent()
                && nowMs + expectedMs.getAsLong() <= drainingUntilMs;
    }

    /** Returns the time since the shutdown request, in ms. */
    long drainingForMs(long nowMs) {
        return nowMs - drainingSinceMs;
    }

    /** Returns the time until requests must have ended, in ms. */
    long remainingMs(long nowMs) {
        return drainingUntilMs - nowMs;
    }

    /** Returns the time until the balancer no longer sends requests to this router, in ms. */
    long balancerDetectionLeftMs(long nowMs) {
        return Math.max(MIN_RETRY_MS, drainingSinceMs + BALANCER_DETECTION_MS - nowMs);
    }
}
