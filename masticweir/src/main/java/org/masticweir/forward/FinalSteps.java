package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;

/** Creates the final steps of one request; their codes promise no more than its verdict states. */
final class FinalSteps {
    private final RetryDelay retryDelay;

    FinalSteps(RetryDelay retryDelay) {
        this.retryDelay = checkNotNull(retryDelay, "retryDelay");
    }

    /**
     * Returns the end of a request that found no further server.
     *
     * @param minMs earliest time at which its caller may retry, in ms from now
     */
    Step.End end(ErrorCode code, Verdict verdict, String reason, long minMs) {
        ErrorCode error = verdict.safeToSendAgain() ? ErrorCode.OVERLOADED : code;
        boolean isUnsafe = !verdict.safeToSendAgain() && error.httpStatus() == 503;
        return new Step.End(
                isUnsafe ? ErrorCode.ENGINE_LOST : error, verdict, retryAfterMs(minMs), reason);
    }

    /** Returns the end of a request that ends now, whatever it waits for. */
    Step.End endNow(ErrorCode notRun, ErrorCode mayHaveRun, Verdict verdict, String reason) {
        ErrorCode code = verdict.safeToSendAgain() ? notRun : mayHaveRun;
        return new Step.End(code, verdict, retryAfterMs(0), reason);
    }

    private OptionalLong retryAfterMs(long minMs) {
        return OptionalLong.of(retryDelay.nextMs(minMs));
    }
}
