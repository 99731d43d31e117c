package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.ServerIncarnation;

/**
 * The end of a server that had begun to run a request; immutable.
 *
 * @param sentMs when the request was sent there
 * @param endedMs when the server ended
 */
public record Loss(ServerIncarnation incarnation, long sentMs, long endedMs) {
    /** How far two routers may be apart on one moment that they told each other, in ms. */
    private static final long CLOCK_TOLERANCE_MS = 100;

    /** Servers that end no further apart may have one cause, in ms. */
    private static final long COMMON_CAUSE_MS = 250;

    /** A server that was reached later than this before its end has hardly begun, in ms. */
    private static final long MIN_RUN_MS = 50;

    public Loss {
        checkNotNull(incarnation, "incarnation");
        checkArgument(sentMs <= endedMs, "sent at %s, ended at %s", sentMs, endedMs);
    }

    /**
     * Returns whether this shows more than {@code earlier} does.
     *
     * <p>Failure guarded against: a domain loses its servers within some milliseconds, and a
     * request that one of them broke off is sent to the next just before that ends too.
     */
    boolean isIndependentOf(Loss earlier) {
        boolean isSentAfter = sentMs >= earlier.endedMs - CLOCK_TOLERANCE_MS;
        boolean isSeparate = endedMs - earlier.endedMs > COMMON_CAUSE_MS;
        return isSentAfter && (isSeparate || endedMs - sentMs >= MIN_RUN_MS);
    }

    /** Returns which of two losses of one life is kept: the one whose request came last. */
    Loss laterOf(Loss other) {
        return other.sentMs > sentMs + CLOCK_TOLERANCE_MS ? other : this;
    }

    /** Returns the same loss by a clock that is {@code ms} ahead. */
    Loss shifted(long ms) {
        return new Loss(incarnation, sentMs + ms, endedMs + ms);
    }
}
