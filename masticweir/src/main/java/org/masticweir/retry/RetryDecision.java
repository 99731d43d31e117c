package org.masticweir.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/** What follows a failed attempt; immutable. */
public sealed interface RetryDecision {
    /** The request is sent again; the budget has counted it. */
    record Retry(long delayMs) implements RetryDecision {
        public Retry {
            checkArgument(delayMs >= 0, "send again after %s ms", delayMs);
        }
    }

    /**
     * The request ends with an error.
     *
     * @param retryAfterMs when the caller may come back; empty when that can't help
     */
    record GiveUp(ErrorCode code, Verdict verdict, OptionalLong retryAfterMs)
            implements RetryDecision {
        public GiveUp {
            checkNotNull(code, "code");
            checkNotNull(verdict, "verdict");
            checkNotNull(retryAfterMs, "retryAfterMs");
        }

        /** Returns the error that the caller gets. */
        public MasticweirException toException() {
            MasticweirException e = MasticweirException.of(code, verdict, "attempt failed");
            return retryAfterMs.isPresent() ? e.retryAfterMs(retryAfterMs.getAsLong()) : e;
        }
    }
}
