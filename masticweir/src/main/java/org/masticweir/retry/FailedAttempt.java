package org.masticweir.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * A send of new work that failed before anything was released to the caller; immutable.
 *
 * @param code why it failed
 * @param verdict what is known of all sends of the request so far
 * @param sends sends of the request so far, at least 1
 * @param dueMs when the answer is due
 * @param expectedMs predicted time from another send to the answer's due part, in ms
 * @param otherEngine whether an engine is left that has not failed this request
 * @param engineRetryAfterMs when the engine said to come back, if it did
 */
public record FailedAttempt(
        WorkClassId workClass,
        TeamId team,
        ErrorCode code,
        Verdict verdict,
        boolean idempotent,
        int sends,
        long dueMs,
        long expectedMs,
        boolean otherEngine,
        OptionalLong engineRetryAfterMs) {
    public FailedAttempt {
        checkNotNull(workClass, "workClass");
        checkNotNull(team, "team");
        checkNotNull(code, "code");
        checkNotNull(verdict, "verdict");
        checkArgument(sends >= 1, "%s sends", sends);
        checkArgument(expectedMs >= 0, "expected %s ms", expectedMs);
        checkNotNull(engineRetryAfterMs, "engineRetryAfterMs");
    }
}
