package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.masticweir.error.ErrorCode;

/**
 * What an operator is told about a change; the last word of this router on it.
 *
 * @param revision the revision that the change has or would get
 * @param domains which domains hold it; empty unless the change is written
 * @param message one sentence or more for people
 */
public record ChangeAnswer(
        Outcome outcome,
        String changeId,
        long revision,
        List<DomainHolding> domains,
        String message) {
    public ChangeAnswer {
        checkNotNull(outcome, "outcome");
        checkNotNull(changeId, "changeId");
        checkNotNull(message, "message");
        domains = ImmutableList.copyOf(domains);
    }

    /** How a change ended. */
    public enum Outcome {
        /** Written, and held in every known domain. */
        ACCEPTED,
        /** Written, but some domain is not known to hold it. */
        PENDING,
        /** It may be written; the table could not be read back in time. */
        UNKNOWN,
        /** A dry run that would have been written. */
        CHECKED,
        /** Not written: another change follows on the base revision. */
        CONFLICT(ErrorCode.CONFLICT),
        /** Not written: the document has problems. */
        INVALID(ErrorCode.SETTINGS_INVALID),
        /** Not written: the table was out of reach, or too many changes are open. */
        NOT_WRITTEN(ErrorCode.PLATFORM_UNAVAILABLE);

        private final Optional<ErrorCode> error;

        Outcome() {
            error = Optional.empty();
        }

        Outcome(ErrorCode error) {
            this.error = Optional.of(error);
        }

        /** Returns the code of the error to answer with, or empty for an answer that is none. */
        public Optional<ErrorCode> error() {
            return error;
        }

        /** Returns the word that stands in the answer. */
        public String word() {
            return Ascii.toLowerCase(name());
        }
    }
}
