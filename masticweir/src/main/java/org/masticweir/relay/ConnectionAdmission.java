package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkArgument;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides whether a new connection of a caller is accepted, or closed before anything is read;
 * owned by the traffic thread.
 *
 * <p>The balancer may hand most new connections of a domain to one router. A connection is accepted
 * by the traffic thread before that thread continues the requests in flight, so a router that
 * accepts more than it can serve reads all requests and answers none of them in time. A caller
 * whose connection is closed unread retries at another router at once.
 *
 * <p>Connections are limited while the traffic thread is late without interruption. The limit
 * starts at the rate at which requests were served, decreases while the thread is late, and
 * increases while it is not.
 */
final class ConnectionAdmission {
    private static final Logger LOG = LogManager.getLogger(ConnectionAdmission.class);

    /** Interval between two measurements of the traffic thread's delay, in ms. */
    static final long MEASUREMENT_INTERVAL_MS = 50;

    /**
     * Delay from which the traffic thread counts as late, in ms. A request needs some four turns of
     * the thread, and callers wait a second.
     */
    static final long LATE_MS = 100;

    /** Time for which the thread is late before connections are limited, in ms. */
    static final long LIMIT_AFTER_MS = 500;

    /**
     * Number of late measurements in a row before connections are limited: after a single pause of
     * the process, the next measurements are not late.
     */
    static final int LIMIT_AFTER_MEASUREMENTS = 3;

    /**
     * Time without a late measurement and a closed connection after which the limit ends, in ms.
     */
    static final long LIFT_AFTER_MS = 2_000;

    /**
     * Time after the start in which connections are not limited, in ms. The thread is late while
     * classes are loaded, and the other routers may have started at the same time.
     */
    static final long STARTUP_MS = 3_000;

    /** Lowest limit, in connections a second; only admitted connections show that it can rise. */
    static final double MIN_PER_SECOND = 4;

    private static final double DECREASE_FACTOR = 0.95;

    /** Factor for each measurement that is not late, before the first late one under a limit. */
    private static final double INITIAL_INCREASE_FACTOR = 1.05;

    /** Factor for each measurement that is not late, after that. */
    private static final double INCREASE_FACTOR = 1.01;

    /** The same factor when no measurement was late for {@link #QUIET_MS}. */
    private static final double QUIET_INCREASE_FACTOR = 1.02;

    private static final long QUIET_MS = 1_000;

    /** Time for which unused admissions are saved, in seconds. */
    private static final double BURST_S = 0.1;

    /** Shortest period over which the rate of served requests is computed, in ms. */
    private static final long SERVED_PERIOD_MS = 1_000;

    private static final double MS_PER_SECOND = 1_000;

    private final long startedMs;
    private long lastDelayMs;
    private long lastMeasuredMs;
    private long nextDueMs;
    private long lastOnTimeMs;
    private long lastLateMs;
    private int lateCount;
    private long lastDisturbedMs;
    private boolean isLimited;
    private boolean hasBeenOnTime;
    private boolean isInitialIncrease;
    private long limitedSinceMs;
    private double perSecond;
    private double tokens;
    private long refilledMs;
    private long closedCount;
    private long answeredCount;

    private long periodStartMs;
    private int servedInPeriod;
    private double servedPerSecond;

    ConnectionAdmission(long nowMs) {
        startedMs = nowMs;
        lastMeasuredMs = nowMs;
        nextDueMs = nowMs + MEASUREMENT_INTERVAL_MS;
        lastOnTimeMs = nowMs;
        periodStartMs = nowMs;
    }

    /**
     * Records a run of the task that measures the delay of the traffic thread.
     *
     * @param nextMs when the task is due again
     */
    void recordMeasurement(long delayMs, long nextMs, long nowMs) {
        nextDueMs = nextMs;
        recordDelay(delayMs, nowMs);
    }

    private void recordDelay(long delayMs, long nowMs) {
        checkArgument(delayMs >= 0, "delay %s", delayMs);
        lastDelayMs = delayMs;
        lastMeasuredMs = nowMs;
        updateServedRate(nowMs);
        boolean isLate = delayMs >= LATE_MS;
        lateCount = isLate ? lateCount + 1 : 0;
        if (!isLate) {
            lastOnTimeMs = nowMs;
        }
        if (isLimited) {
            adjustLimit(isLate, nowMs);
        } else if (lateCount >= LIMIT_AFTER_MEASUREMENTS
                && nowMs - lastOnTimeMs >= LIMIT_AFTER_MS
                && nowMs - startedMs >= STARTUP_MS) {
            limit(nowMs);
        }
    }

    /**
     * Records the delay of a measurement that is due and has not run yet. The thread opens all
     * waiting connections in one turn, and the measurement runs only after them.
     */
    private void recordOverdueMeasurement(long nowMs) {
        boolean isOverdue = nowMs - nextDueMs >= LATE_MS;
        if (isOverdue && nowMs - lastMeasuredMs >= MEASUREMENT_INTERVAL_MS) {
            recordDelay(nowMs - nextDueMs, nowMs);
        }
    }

    private void adjustLimit(boolean isLate, long nowMs) {
        if (isLate) {
            isInitialIncrease &= !hasBeenOnTime;
            lastLateMs = nowMs;
            lastDisturbedMs = nowMs;
            perSecond = Math.max(MIN_PER_SECOND, perSecond * DECREASE_FACTOR);
        } else {
            hasBeenOnTime = true;
            perSecond *= increaseFactor(nowMs);
        }
        if (nowMs - lastDisturbedMs >= LIFT_AFTER_MS) {
            lift(nowMs);
        }
    }

    private double increaseFactor(long nowMs) {
        if (isInitialIncrease) {
            return INITIAL_INCREASE_FACTOR;
        }
        return nowMs - lastLateMs >= QUIET_MS ? QUIET_INCREASE_FACTOR : INCREASE_FACTOR;
    }

    /** Records the end of a request. */
    void recordServed() {
        servedInPeriod++;
    }

    /**
     * Returns whether to accept a new connection.
     *
     * @param canRetryElsewhere whether another router is linked; if there is none, a caller whose
     *     connection is closed would be served nowhere
     */
    boolean admits(boolean canRetryElsewhere, long nowMs) {
        recordOverdueMeasurement(nowMs);
        if (!isLimited) {
            return true;
        }
        tokens = Math.min(burst(), tokens + (nowMs - refilledMs) * perSecond / MS_PER_SECOND);
        refilledMs = nowMs;
        if (tokens >= 1 || !canRetryElsewhere) {
            tokens = Math.max(0, tokens - 1);
            return true;
        }
        lastDisturbedMs = nowMs;
        closedCount++;
        return false;
    }

    /**
     * Returns whether the connection of the next answer is to be closed after it. While the thread
     * is late under a limit, every second one is: requests on open connections are not limited
     * otherwise, and their callers reach other routers with new connections.
     */
    boolean closesAfterAnswer(boolean canRetryElsewhere) {
        if (!isLimited || !canRetryElsewhere || lastDelayMs < LATE_MS) {
            return false;
        }
        answeredCount++;
        return answeredCount % 2 == 0;
    }

    boolean isLimited() {
        return isLimited;
    }

    private void limit(long nowMs) {
        isLimited = true;
        hasBeenOnTime = false;
        isInitialIncrease = true;
        lastLateMs = nowMs;
        limitedSinceMs = nowMs;
        lastDisturbedMs = nowMs;
        refilledMs = nowMs;
        tokens = 0;
        closedCount = 0;
        perSecond = Math.max(MIN_PER_SECOND, servedPerSecond);
        LOG.info(
                "connections: limited to {} a second, as many as requests were served until {} ms"
                        + " ago; the traffic thread was late for {} ms, now by {} ms",
                Math.round(perSecond),
                nowMs - periodStartMs,
                nowMs - lastOnTimeMs,
                lastDelayMs);
    }

    private void lift(long nowMs) {
        isLimited = false;
        LOG.info(
                "connections: limit of {} a second ends after {} ms, {} were closed unread; the"
                        + " traffic thread was measured {} ms ago, late by {} ms",
                Math.round(perSecond),
                nowMs - limitedSinceMs,
                closedCount,
                nowMs - lastMeasuredMs,
                lastDelayMs);
    }

    private void updateServedRate(long nowMs) {
        long periodMs = nowMs - periodStartMs;
        if (periodMs >= SERVED_PERIOD_MS) {
            servedPerSecond = servedInPeriod * MS_PER_SECOND / periodMs;
            servedInPeriod = 0;
            periodStartMs = nowMs;
        }
    }

    private double burst() {
        return Math.max(1, perSecond * BURST_S);
    }
}
