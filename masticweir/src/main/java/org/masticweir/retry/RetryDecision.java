package org.masticweir.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/** Decision on a failed attempt; immutable. */
public sealed interface RetryDecision {
    /** Retries the request; the budget has counted the retry. */
    record Retry(long delayMs) implements RetryDecision {
        public Retry {
            checkArgument(delayMs >= 0, "retry after %s ms", delayMs);
        }
    }

    /**
     * Ends the request with an error.
     *
     * @param retryAfterMs when the caller may retry; empty if a retry can't help
     */
    record GiveUp(ErrorCode code, Verdict verdict, OptionalLong retryAfterMs)
            implements RetryDecision {
        public GiveUp {
            checkNotNull(code, "code");
            checkNotNull(verdict, "verdict");
            checkNotNull(retryAfterMs, "retryAfterMs");
        }

        /** Returns the exception for the caller. */
        public MasticweirException toException() {
            MasticweirException e = MasticweirException.of(code, verdict, "attempt failed");
            return retryAfterMs.isPresent() ? e.retryAfterMs(retryAfterMs.getAsLong()) : e;
        }
    }
}
