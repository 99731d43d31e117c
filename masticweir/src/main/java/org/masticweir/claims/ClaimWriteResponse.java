package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.peer.PeerMessage;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;

/**
 * The outcome of a delegated write.
 *
 * @param number revision if committed or conflicted, otherwise the delay before a retry in
 *     milliseconds
 * @param value value of the conflicting row; empty if the row is absent or there was no conflict
 */
record ClaimWriteResponse(Kind kind, long number, String value) implements PeerMessage {
    /** Outcomes, encoded by ordinal on the wire; append only. */
    enum Kind {
        /** The write took effect. */
        COMMITTED,
        /** The write had no effect because the row differs. */
        CONFLICTED,
        /** The write may have taken effect or may still take effect. */
        UNKNOWN,
        /** The writer can't reach the table; the write had no effect and never will. */
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
     * Returns the response for {@code event}, an outcome of the writer's batch.
     *
     * <p>A row that is too long for a message is reported as unknown; the claimant then queries the
     * table itself.
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

    /** Returns the event to deliver to the claim for its write {@code ticket}. */
    ClaimEvent toEvent(int ticket, RowKey key) {
        return switch (kind) {
            case COMMITTED -> new ClaimEvent.Committed(ticket, number);
            case CONFLICTED -> new ClaimEvent.Conflicted(ticket, Row.of(key, number, value));
            case UNKNOWN -> new ClaimEvent.Unknown(ticket);
            case NO_TABLE, OVERLOADED -> new ClaimEvent.NotDone(ticket, OptionalLong.of(number));
        };
    }
}
