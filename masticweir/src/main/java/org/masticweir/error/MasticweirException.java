package org.masticweir.error;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.util.OptionalLong;

/** The one exception type of the project: a code, a verdict and, when given up, when to return. */
public final class MasticweirException extends RuntimeException {
    private static final long NO_RETRY = -1;
    private static final String KEY_IN_DOUBT =
            "; this submission was not sent, but another one of its key may have run: it is safe to"
                    + " ask again with the same key";

    private final ErrorCode code;
    private final Verdict verdict;
    private final Submission submission;
    private final long retryAfterMs;

    private MasticweirException(
            ErrorCode code,
            Verdict verdict,
            Submission submission,
            String message,
            long retryAfterMs,
            Throwable cause) {
        super(message, cause);
        this.submission = checkNotNull(submission, "submission");
        this.code = checkNotNull(code, "code");
        this.verdict = checkNotNull(verdict, "verdict");
        this.retryAfterMs = retryAfterMs;
    }

    /** Returns an error about a request that was never sent to a back end. */
    public static MasticweirException notRun(ErrorCode code, String message) {
        return of(code, Verdict.NOT_RUN, message);
    }

    public static MasticweirException of(ErrorCode code, Verdict verdict, String message) {
        return new MasticweirException(
                code, verdict, submissionOf(verdict), message, NO_RETRY, null);
    }

    public static MasticweirException causedBy(
            ErrorCode code, Verdict verdict, String message, Throwable cause) {
        return new MasticweirException(
                code, verdict, submissionOf(verdict), message, NO_RETRY, cause);
    }

    private static Submission submissionOf(Verdict verdict) {
        return verdict.safeToSendAgain() ? Submission.NOT_SENT : Submission.MAY_HAVE_BEEN_SENT;
    }

    /** Returns this error with the advice to come back after {@code ms} milliseconds. */
    public MasticweirException retryAfterMs(long ms) {
        checkArgument(ms >= 0, "retry after %s ms", ms);
        return new MasticweirException(code, verdict, submission, getMessage(), ms, getCause());
    }

    /**
     * Returns this error of a submission that was not sent as one about its key, of which other
     * submissions may have run.
     */
    public MasticweirException withKeyInDoubt() {
        checkState(submission == Submission.NOT_SENT, "submission %s", submission);
        return new MasticweirException(
                code,
                Verdict.MAY_HAVE_RUN,
                submission,
                getMessage() + KEY_IN_DOUBT,
                retryAfterMs,
                getCause());
    }

    public ErrorCode code() {
        return code;
    }

    public Verdict verdict() {
        return verdict;
    }

    public Submission submission() {
        return submission;
    }

    /** Returns the milliseconds after which the caller should come back, if that can help. */
    public OptionalLong retryAfterMs() {
        return retryAfterMs == NO_RETRY ? OptionalLong.empty() : OptionalLong.of(retryAfterMs);
    }
}
