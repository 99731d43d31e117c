package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.ServerIncarnation;

/**
 * The end of a server that had begun to run a request; immutable.
 *
 * @param life incarnation of the server that ended
 * @param sentMs when the request was sent to the server
 * @param endedMs when the server ended
 */
public record Loss(ServerIncarnation life, long sentMs, long endedMs) {
    /** Maximum difference between the times that two routers store for one event, in ms. */
    private static final long CLOCK_TOLERANCE_MS = 100;

    /** Maximum time between the ends of two servers that may have a common cause, in ms. */
    private static final long COMMON_CAUSE_MS = 250;

    /**
     * Minimum time between the send of a request and the end of its server, in ms. A request sent
     * later is assumed not to have begun to run.
     */
    private static final long MIN_RUN_MS = 50;

    public Loss {
        checkNotNull(life, "life");
        checkArgument(sentMs <= endedMs, "sent at %s, ended at %s", sentMs, endedMs);
    }

    /**
     * Returns whether this loss counts in addition to {@code earlier}.
     *
     * <p>A domain may lose all its servers within some milliseconds. A request that failed at one
     * server may then be sent to a second server just before the second server ends. Such losses
     * count once.
     */
    boolean isIndependentOf(Loss earlier) {
        boolean isSentAfter = sentMs >= earlier.endedMs - CLOCK_TOLERANCE_MS;
        boolean isSeparate = endedMs - earlier.endedMs > COMMON_CAUSE_MS;
        return isSentAfter && (isSeparate || endedMs - sentMs >= MIN_RUN_MS);
    }

    /** Returns the loss with the later send time; both losses belong to one incarnation. */
    Loss laterOf(Loss other) {
        return other.sentMs > sentMs + CLOCK_TOLERANCE_MS ? other : this;
    }

    /** Returns this loss with both times shifted by {@code ms}. */
    Loss shifted(long ms) {
        return new Loss(life, sentMs + ms, endedMs + ms);
    }
}
