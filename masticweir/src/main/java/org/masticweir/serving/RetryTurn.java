package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.config.WorkClass;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.generation.RequestSpec;
import org.masticweir.retry.FailedAttempt;
import org.masticweir.retry.RetryBudget;
import org.masticweir.retry.RetryDecision;
import org.masticweir.retry.RetryPolicy;
import org.masticweir.routing.RouteChoice;

/**
 * Counts one request's sends and asks for each after the first; owned by the request's thread.
 *
 * <p>A send that never left this router costs no engine anything and is not counted. Recoveries are
 * not retries: they have an admission of their own, but those without a token yet are counted.
 */
final class RetryTurn {
    private final RetryBudget budget;
    private final RetryPolicy policy;
    private final RequestSpec spec;
    private final WorkClass workClass;
    private final long dueMs;
    private int sends;
    private boolean neverLeft;
    private Optional<Failure> failure = Optional.empty();

    RetryTurn(ServingPolicy shared, RunningRequest request, WorkClass workClass) {
        this(shared.retryBudget(), shared.retries(), request, workClass);
    }

    /**
     * Creates the turns of a request of which nothing was sent.
     *
     * @param policy decides within {@code budget}
     */
    RetryTurn(RetryBudget budget, RetryPolicy policy, RunningRequest request, WorkClass workClass) {
        this.budget = checkNotNull(budget, "budget");
        this.policy = checkNotNull(policy, "policy");
        this.workClass = checkNotNull(workClass, "workClass");
        spec = request.spec();
        dueMs = request.acceptedAtMs() + workClass.totalMs();
    }

    /** Counts a send. */
    void sent(long nowMs) {
        if (sends == 0) {
            budget.recordFirstSend(workClass.id(), spec.team(), nowMs);
        }
        neverLeft = false;
        sends++;
    }

    /** Counts a send in the place of one that was lost before its first token. */
    void resent(long nowMs) {
        if (!neverLeft) {
            budget.recordRecoverySend(workClass.id(), spec.team(), nowMs);
        }
        neverLeft = false;
        sends++;
    }

    /** Takes note that the last send never left, so the one in its place is not one more. */
    void neverLeft() {
        neverLeft = true;
    }

    /** Takes note that the last send failed; another needs a decision. */
    void failed(ErrorCode code, long engineRetryAfterMs) {
        OptionalLong advised =
                engineRetryAfterMs > 0 ? OptionalLong.of(engineRetryAfterMs) : OptionalLong.empty();
        failure = Optional.of(new Failure(code, advised));
    }

    /** Tells whether a send failed that was not decided on. */
    boolean pending() {
        return failure.isPresent();
    }

    /** Decides whether the request is sent where {@code next} says, after a failure. */
    RetryDecision decide(RouteChoice.Chosen next, Verdict verdict, long nowMs) {
        Failure last = failure.orElseThrow();
        failure = Optional.empty();
        FailedAttempt attempt =
                new FailedAttempt(
                        workClass.id(),
                        spec.team(),
                        last.code,
                        verdict,
                        spec.idempotent(),
                        sends,
                        dueMs,
                        Math.round(next.expectedMs()),
                        true,
                        last.engineRetryAfterMs);
        return policy.decide(attempt, nowMs);
    }

    private record Failure(ErrorCode code, OptionalLong engineRetryAfterMs) {}
}
