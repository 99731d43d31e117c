package org.masticweir.error;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/** The one exception type of the project: a code, a verdict and, when given up, when to return. */
public final class MasticweirException extends RuntimeException {
    private static final long NO_RETRY = -1;

    private final ErrorCode code;
    private final Verdict verdict;
    private final long retryAfterMs;

    private MasticweirException(
            ErrorCode code, Verdict verdict, String message, long retryAfterMs, Throwable cause) {
        super(message, cause);
        this.code = checkNotNull(code, "code");
        this.verdict = checkNotNull(verdict, "verdict");
        this.retryAfterMs = retryAfterMs;
    }

    /** Returns an error about a request that was never sent to a back end. */
    public static MasticweirException notRun(ErrorCode code, String message) {
        return new MasticweirException(code, Verdict.NOT_RUN, message, NO_RETRY, null);
    }

    public static MasticweirException of(ErrorCode code, Verdict verdict, String message) {
        return new MasticweirException(code, verdict, message, NO_RETRY, null);
    }

    public static MasticweirException causedBy(
            ErrorCode code, Verdict verdict, String message, Throwable cause) {
        return new MasticweirException(code, verdict, message, NO_RETRY, cause);
    }

    /** Returns this error with the advice to come back after {@code ms} milliseconds. */
    public MasticweirException retryAfterMs(long ms) {
        checkArgument(ms >= 0, "retry after %s ms", ms);
        return new MasticweirException(code, verdict, getMessage(), ms, getCause());
    }

    public ErrorCode code() {
        return code;
    }

    public Verdict verdict() {
        return verdict;
    }

    /** Returns the milliseconds after which the caller should come back, if that can help. */
    public OptionalLong retryAfterMs() {
        return retryAfterMs == NO_RETRY ? OptionalLong.empty() : OptionalLong.of(retryAfterMs);
    }
}
