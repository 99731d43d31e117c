package org.masticweir.bench.caller;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import com.google.common.primitives.ImmutableLongArray;

/**
 * What one caller saw of one request.
 *
 * @param status HTTP status, 0 when no answer came
 * @param generation generation of the tokens
 * @param tokens token ids in the order in which they came
 * @param tokenAtMs when each came, on the caller's clock
 * @param disorders events whose index was not the next one
 * @param resets generations voided by the router
 * @param outcome how it ended
 * @param code error code, empty when there was none
 * @param verdict verdict told, empty when none was
 * @param submission what was told of this submission beside the verdict, empty when nothing was
 * @param retryAfterMs when the caller was told to come back, 0 when it was not
 */
public record CallRecord(
        int status,
        int generation,
        ImmutableIntArray tokens,
        ImmutableLongArray tokenAtMs,
        int disorders,
        int resets,
        Outcome outcome,
        String code,
        String verdict,
        String submission,
        long retryAfterMs,
        long startedAtMs,
        long endedAtMs) {
    public CallRecord {
        checkNotNull(tokens, "tokens");
        checkNotNull(tokenAtMs, "tokenAtMs");
        checkNotNull(outcome, "outcome");
        checkNotNull(code, "code");
        checkNotNull(verdict, "verdict");
        checkNotNull(submission, "submission");
    }

    /** Returns the longest time between two tokens, in ms. */
    public long longestGapMs() {
        long longest = 0;
        for (int i = 1; i < tokenAtMs.length(); i++) {
            longest = Math.max(longest, tokenAtMs.get(i) - tokenAtMs.get(i - 1));
        }
        return longest;
    }

    /** How a call ended. */
    public enum Outcome {
        /** The whole answer came. */
        COMPLETED,
        /** A final error came. */
        ERROR,
        /** The connection broke without a final word. */
        BROKEN
    }
}
