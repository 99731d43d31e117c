package org.masticweir.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * A send that failed before the caller received any part of the answer; immutable.
 *
 * @param code reason of the failure
 * @param verdict whether any send of the request so far may have run
 * @param sendCount sends of the request so far, at least 1
 * @param deadlineMs deadline of the answer
 * @param expectedMs predicted time from a retry to the required part of the answer, in ms
 * @param hasOtherEngine whether an engine exists that has not failed this request
 * @param engineRetryAfterMs time after which the engine accepts a retry, if it reported one
 */
public record FailedAttempt(
        WorkClassId workClass,
        TeamId team,
        ErrorCode code,
        Verdict verdict,
        boolean isIdempotent,
        int sendCount,
        long deadlineMs,
        long expectedMs,
        boolean hasOtherEngine,
        OptionalLong engineRetryAfterMs) {
    public FailedAttempt {
        checkNotNull(workClass, "workClass");
        checkNotNull(team, "team");
        checkNotNull(code, "code");
        checkNotNull(verdict, "verdict");
        checkArgument(sendCount >= 1, "%s sends", sendCount);
        checkArgument(expectedMs >= 0, "expected %s ms", expectedMs);
        checkNotNull(engineRetryAfterMs, "engineRetryAfterMs");
    }
}
