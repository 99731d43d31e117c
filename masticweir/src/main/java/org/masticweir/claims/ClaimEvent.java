package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.error.Verdict;
import org.masticweir.store.Row;

/** What a claim's state machine is told. */
public sealed interface ClaimEvent {
    /** The write with this ticket took effect at this revision. */
    record Committed(int ticket, long revision) implements ClaimEvent {}

    /** The write had no effect, as the row is this one (perhaps absent). */
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

    /** The write may have taken effect, or may yet. */
    record Unknown(int ticket) implements ClaimEvent {}

    /** The deadline passed or the caller cancelled while the claim was being made. */
    record GiveUp() implements ClaimEvent {}

    /** No attempt was sent or each was refused before admission, and none will follow. */
    record NotSent() implements ClaimEvent {}

    /** An attempt was sent and this is what is known of its end. */
    record Ended(Verdict verdict, String result) implements ClaimEvent {
        public Ended {
            checkNotNull(verdict, "verdict");
            checkNotNull(result, "result");
        }
    }
}
