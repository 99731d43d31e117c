package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkState;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides which answers close their connections because this router holds far more of its callers'
 * connections than usual; owned by the traffic thread.
 *
 * <p>After the balancer has handed most new connections to one router, callers continue to use
 * them, so that router would have most of the requests long afterwards. A caller whose connection
 * is closed by an answer opens a new one, which the balancer assigns anew.
 */
final class ConnectionRebalancing {
    private static final Logger LOG = LogManager.getLogger(ConnectionRebalancing.class);

    /** Time constant of the usual number of connections, in ms: many times as long as a herd. */
    static final long MEAN_MS = 60_000;

    /** Time after the start from which the mean is used, in ms. */
    static final long LEARNING_MS = 30_000;

    /** Connections beyond the mean that are never too many; small numbers vary by chance. */
    static final int ALLOWANCE = 8;

    /** Multiple of the mean at which connections are closed. */
    private static final double START_FACTOR = 2;

    /** Multiple of the mean at which that ends. */
    private static final double END_FACTOR = 1.25;

    /** One of this many answers closes its connection, so that new ones don't come all at once. */
    private static final int CLOSE_INTERVAL = 4;

    private final long startedMs;
    private long updatedMs;
    private double meanCount;
    private int openCount;
    private boolean isActive;
    private long activeSinceMs;
    private long answerCount;
    private long closedCount;

    ConnectionRebalancing(long nowMs) {
        startedMs = nowMs;
        updatedMs = nowMs;
    }

    /** Records a connection that has sent its first request. */
    void connectionUsed() {
        openCount++;
    }

    void connectionClosed() {
        checkState(openCount > 0, "no connection is open");
        openCount--;
    }

    /** Updates the usual number of connections; called at short intervals. */
    void update(long nowMs) {
        long ageMs = Math.max(1, nowMs - startedMs);
        double weight = (double) (nowMs - updatedMs) / Math.min(MEAN_MS, ageMs);
        meanCount += Math.min(1, weight) * (openCount - meanCount);
        updatedMs = nowMs;
        if (!isActive && ageMs >= LEARNING_MS && openCount > threshold(START_FACTOR)) {
            isActive = true;
            activeSinceMs = nowMs;
            closedCount = 0;
            LOG.info(
                    "connections: every {}th answer closes its connection, {} are open and {} in"
                            + " the mean of the last {} s",
                    CLOSE_INTERVAL,
                    openCount,
                    Math.round(meanCount),
                    Math.min(MEAN_MS, ageMs) / 1_000);
        } else if (isActive && openCount <= threshold(END_FACTOR)) {
            isActive = false;
            LOG.info(
                    "connections: answers close no more connections after {} ms and {} closed, {}"
                            + " are open and {} in the mean",
                    nowMs - activeSinceMs,
                    closedCount,
                    openCount,
                    Math.round(meanCount));
        }
    }

    /**
     * Returns whether the next answer is to close its connection.
     *
     * @param canReconnectElsewhere whether another router is linked
     */
    boolean closesAfterAnswer(boolean canReconnectElsewhere) {
        if (!isActive || !canReconnectElsewhere) {
            return false;
        }
        answerCount++;
        boolean closes = answerCount % CLOSE_INTERVAL == 0;
        closedCount += closes ? 1 : 0;
        return closes;
    }

    boolean isActive() {
        return isActive;
    }

    private double threshold(double factor) {
        return factor * meanCount + ALLOWANCE;
    }
}
