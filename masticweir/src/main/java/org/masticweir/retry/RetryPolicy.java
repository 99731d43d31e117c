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
 * <p>Thread-safe if the supplier gives each thread a generator of its own.
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

    /** Returns the decision on {@code failed}; a retry has been counted in the budget. */
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
     * Prevents a non-idempotent request from running twice after its answer was lost: it is retried
     * only if the verdict is that no send of it ran.
     */
    private static boolean isSafeToRetry(FailedAttempt failed) {
        return failed.verdict() != Verdict.COMPLETED
                && (failed.isIdempotent() || failed.verdict().safeToSendAgain());
    }

    /**
     * Returns the delay before a retry: short for another engine, and at least the time reported by
     * the engine if it is the same one.
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
