package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.permits.SharedRate;
import org.masticweir.retry.RetryBudget;

/**
 * This router's part of the retry budgets that all routers share for each service; owned by the
 * traffic thread.
 *
 * <p>If servers refuse or fail and each refusal is retried, the retries sustain the overload. The
 * shared budget is a share of the requests plus an allowance. A router may use the share of its own
 * requests without permits. Each retry from the allowance needs a permit.
 */
public final class ServiceRetryBudgets implements RetryLimiter {
    /**
     * Fraction of the share that is used. The rest is a margin, because the windows of routers
     * don't start together.
     */
    private static final double USED_FRACTION = 0.8;

    private static final TeamId ALL_TEAMS = TeamId.of("all");

    /** Each service has a budget of its own, which does not tell classes apart. */
    private static final WorkClassId ALL_CLASSES = WorkClassId.of("all");

    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private final Map<ServiceName, Long> permitsSuspendedUntilMs = new HashMap<>();
    private double share;
    private Optional<SharedRate> allowance = Optional.empty();

    private ServiceRetryBudgets() {}

    /**
     * Returns the budgets of a router that has received no requests yet.
     *
     * @param share retries allowed per request, over all routers
     * @param allowance additional retries allowed in a window, over all routers
     */
    public static ServiceRetryBudgets of(double share, double allowance) {
        ServiceRetryBudgets retryBudgets = new ServiceRetryBudgets();
        retryBudgets.update(share, allowance);
        return retryBudgets;
    }

    /** Updates the shared budget; a changed share resets the counts of earlier sends. */
    public void update(double sharedShare, double sharedAllowance) {
        checkArgument(sharedAllowance >= 0, "allowance %s", sharedAllowance);
        double ownShare = sharedShare * USED_FRACTION;
        if (ownShare != share) {
            budgets.clear();
        }
        share = ownShare;
        allowance =
                sharedAllowance > 0
                        ? Optional.of(SharedRate.ofAllowance(sharedAllowance))
                        : Optional.empty();
    }

    /** Returns the rate of retry permits; empty if there is no allowance. */
    public Optional<SharedRate> allowance() {
        return allowance;
    }

    /** Suspends permit requests for {@code service} until {@code untilMs}. */
    public void suspendPermits(ServiceName service, long untilMs) {
        permitsSuspendedUntilMs.put(service, untilMs);
    }

    @Override
    public void recordRequest(ServiceName service, long nowMs) {
        budget(service).recordFirstSend(ALL_CLASSES, ALL_TEAMS, nowMs);
    }

    @Override
    public boolean tryRetry(ServiceName service, long nowMs) {
        return budget(service).tryRetry(ALL_CLASSES, ALL_TEAMS, nowMs);
    }

    @Override
    public boolean mayRetry(ServiceName service, long nowMs) {
        return budget(service).mayRetry(ALL_CLASSES, ALL_TEAMS, nowMs);
    }

    @Override
    public boolean mayRequestPermit(ServiceName service, long nowMs) {
        return allowance.isPresent()
                && nowMs >= permitsSuspendedUntilMs.getOrDefault(service, Long.MIN_VALUE);
    }

    @Override
    public void cancelRetry(ServiceName service, long countedMs, long nowMs) {
        budget(service).cancelRetry(ALL_CLASSES, ALL_TEAMS, countedMs, nowMs);
    }

    private RetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(service, s -> RetryBudget.create(share, 0));
    }
}
