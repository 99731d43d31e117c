package org.masticweir.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.retry.RetryDecision.GiveUp;
import org.masticweir.retry.RetryDecision.Retry;

/**
 * Decides whether a failed attempt is retried.
 *
 * <p>Thread-safe if the supplier returns a separate random generator for each thread.
 */
public final class RetryPolicy {
    private static final int DEFAULT_MAX_SENDS = 3;
    private static final long FIRST_BACKOFF_MS = 10;
    private static final long MAX_BACKOFF_MS = 1_000;
    private static final long MIN_RETRY_AFTER_MS = 500;

    private final RetryBudget budget;
    private final Supplier<? extends RandomGenerator> random;
    private final int maxSends;

    private RetryPolicy(
            RetryBudget budget, Supplier<? extends RandomGenerator> random, int maxSends) {
        checkArgument(maxSends >= 1, "at most %s sends", maxSends);
        this.maxSends = maxSends;
        this.budget = checkNotNull(budget, "budget");
        this.random = checkNotNull(random, "random");
    }

    public static RetryPolicy create(
            RetryBudget budget, Supplier<? extends RandomGenerator> random) {
        return create(budget, random, DEFAULT_MAX_SENDS);
    }

    /** Returns a policy that limits each request to {@code maxSends} sends. */
    public static RetryPolicy create(
            RetryBudget budget, Supplier<? extends RandomGenerator> random, int maxSends) {
        return new RetryPolicy(budget, random, maxSends);
    }

    /** Returns the decision on {@code failed}. The budget counts a decided retry. */
    public RetryDecision decide(FailedAttempt failed, long nowMs) {
        checkNotNull(failed, "failed");
        if (!isSafeToRetry(failed)) {
            return new GiveUp(failed.code(), failed.verdict(), OptionalLong.empty());
        }
        if (nowMs >= failed.deadlineMs()) {
            return giveUp(ErrorCode.DEADLINE_EXCEEDED, failed);
        }
        long delayMs = delayMs(failed);
        boolean isInTime = nowMs + delayMs + failed.expectedMs() < failed.deadlineMs();
        if (!isInTime || failed.sendCount() >= maxSends) {
            return giveUp(failed.code(), failed);
        }
        return budget.tryRetry(failed.workClass(), failed.team(), nowMs)
                ? new Retry(delayMs)
                : giveUp(failed.code(), failed);
    }

    /**
     * Returns whether a retry can't cause a second run of a non-idempotent request, whose answer
     * may have been lost after a run. Such a request is retried only if the verdict states that no
     * send was run.
     */
    private static boolean isSafeToRetry(FailedAttempt failed) {
        return failed.verdict() != Verdict.COMPLETED
                && (failed.isIdempotent() || failed.verdict().safeToSendAgain());
    }

    /**
     * Returns the delay before a retry. The delay is short if another engine is available;
     * otherwise it is at least the time that the failed engine reported.
     */
    private long delayMs(FailedAttempt failed) {
        long bound = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << (failed.sendCount() - 1));
        long jitter = random.get().nextLong(bound + 1);
        return failed.hasOtherEngine()
                ? jitter
                : failed.engineRetryAfterMs().orElse(bound) + jitter;
    }

    private GiveUp giveUp(ErrorCode code, FailedAttempt failed) {
        long base = Math.max(MIN_RETRY_AFTER_MS, failed.engineRetryAfterMs().orElse(0));
        long jitter = random.get().nextLong(base);
        return new GiveUp(code, failed.verdict(), OptionalLong.of(base + jitter));
    }
}
