package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.peer.PeerMessage;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;

/**
 * What became of a write that a claimant offered.
 *
 * @param number a revision when committed or conflicted, else after how many milliseconds to come
 *     back
 * @param value value of the row that stands instead; empty when absent or not conflicted
 */
record ClaimWriteResponse(Kind kind, long number, String value) implements PeerMessage {
    /** Outcomes, by their number on the wire; append only. */
    enum Kind {
        /** The write took effect. */
        COMMITTED,
        /** The write had no effect, as another row stands. */
        CONFLICTED,
        /** The write may have taken effect, or may yet. */
        UNKNOWN,
        /** The writer does not reach the table; the write had no effect and never will. */
        NO_TABLE,
        /** The writer's queue is full; the write had no effect and never will. */
        OVERLOADED
    }

    ClaimWriteResponse {
        checkNotNull(kind, "kind");
        checkNotNull(value, "value");
    }

    static ClaimWriteResponse refused(Kind kind, long retryAfterMs) {
        return new ClaimWriteResponse(kind, retryAfterMs, "");
    }

    /**
     * Returns the answer that tells {@code event}, an outcome of the writer's batch.
     *
     * <p>A row too long for a message is told as unknown: the claimant then asks the table itself.
     */
    static ClaimWriteResponse fromEvent(ClaimEvent event) {
        if (event instanceof ClaimEvent.Committed e) {
            return new ClaimWriteResponse(Kind.COMMITTED, e.revision(), "");
        }
        if (event instanceof ClaimEvent.Conflicted e && ClaimWriteRequest.fits(e.row().value())) {
            return new ClaimWriteResponse(Kind.CONFLICTED, e.row().revision(), e.row().value());
        }
        if (event instanceof ClaimEvent.NotDone e) {
            return refused(Kind.NO_TABLE, e.retryAfterMs().orElse(0));
        }
        return new ClaimWriteResponse(Kind.UNKNOWN, 0, "");
    }

    /** Returns what the claim is told of its write under {@code ticket}. */
    ClaimEvent toEvent(int ticket, RowKey key) {
        return switch (kind) {
            case COMMITTED -> new ClaimEvent.Committed(ticket, number);
            case CONFLICTED -> new ClaimEvent.Conflicted(ticket, Row.of(key, number, value));
            case UNKNOWN -> new ClaimEvent.Unknown(ticket);
            case NO_TABLE, OVERLOADED -> new ClaimEvent.NotDone(ticket, OptionalLong.of(number));
        };
    }
}
