package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.ServerLife;

/**
 * The end of a server that had begun to run a request; immutable.
 *
 * @param sentMs when the request was sent there
 * @param endedMs when the server ended
 */
public record Loss(ServerLife life, long sentMs, long endedMs) {
    /** How far two routers may be apart on one moment that they told each other, in ms. */
    private static final long JITTER_MS = 100;

    public Loss {
        checkNotNull(life, "life");
        checkArgument(sentMs <= endedMs, "sent at %s, ended at %s", sentMs, endedMs);
    }

    /** Returns whether the request was sent after {@code earlier}, and so ended another server. */
    boolean follows(Loss earlier) {
        return sentMs >= earlier.endedMs - JITTER_MS;
    }

    /** Returns which of two losses of one life is kept: the one whose request came last. */
    Loss or(Loss other) {
        return other.sentMs > sentMs + JITTER_MS ? other : this;
    }

    /** Returns the same loss by a clock that is {@code ms} ahead. */
    Loss shifted(long ms) {
        return new Loss(life, sentMs + ms, endedMs + ms);
    }
}
