package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.error.Verdict;
import org.masticweir.store.Row;

/** An event that a claim's state machine receives. */
public sealed interface ClaimEvent {
    /** The write with this ticket took effect at this revision. */
    record Committed(int ticket, long revision) implements ClaimEvent {}

    /** The write had no effect; the table holds {@code row}, which may be absent. */
    record Conflicted(int ticket, Row row) implements ClaimEvent {
        public Conflicted {
            checkNotNull(row, "row");
        }
    }

    /** The write certainly had no effect, and never will. */
    record NotDone(int ticket, OptionalLong retryAfterMs) implements ClaimEvent {
        public NotDone {
            checkNotNull(retryAfterMs, "retryAfterMs");
        }
    }

    /** The write may have taken effect or may still take effect. */
    record Unknown(int ticket) implements ClaimEvent {}

    /** The deadline passed or the caller cancelled before the claim was decided. */
    record GiveUp() implements ClaimEvent {}

    /** No attempt was sent or each was refused before admission, and none will follow. */
    record NotSent() implements ClaimEvent {}

    /** An attempt was sent; verdict and result describe its end as far as known. */
    record Ended(Verdict verdict, String result) implements ClaimEvent {
        public Ended {
            checkNotNull(verdict, "verdict");
            checkNotNull(result, "result");
        }
    }
}
