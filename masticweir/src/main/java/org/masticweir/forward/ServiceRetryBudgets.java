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
 * The budget of second sends that all routers share, as this router goes by it; owned by the
 * traffic thread.
 *
 * <p>Load that it answers: servers refuse or break, each refusal is sent again, and the repeats
 * make up the overload. The shared budget is a share of the requests and an allowance. The share of
 * what a router has received itself is its own; of the allowance it needs a permit for each repeat.
 */
public final class ServiceRetryBudgets implements RetryLimiter {
    /** Part of the share that is used: windows of routers don't begin together. */
    private static final double USED_FRACTION = 0.8;

    private static final TeamId ALL_TEAMS = TeamId.of("all");

    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private final Map<ServiceName, Long> permitsSuspendedUntilMs = new HashMap<>();
    private double share;
    private Optional<SharedRate> allowance = Optional.empty();

    private ServiceRetryBudgets() {}

    /**
     * Returns the budget of a router that has received nothing yet.
     *
     * @param share repeats allowed for a request, over all routers
     * @param allowance repeats allowed beyond that in a window, over all routers
     */
    public static ServiceRetryBudgets of(double share, double allowance) {
        ServiceRetryBudgets retryBudgets = new ServiceRetryBudgets();
        retryBudgets.update(share, allowance);
        return retryBudgets;
    }

    /** Takes another shared budget; with another share, what was sent is forgotten. */
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

    /** Returns the rate of the permits for repeats; empty if there is no allowance. */
    public Optional<SharedRate> allowance() {
        return allowance;
    }

    /** No permit for {@code service} is to be had before {@code untilMs}. */
    public void suspendPermits(ServiceName service, long untilMs) {
        permitsSuspendedUntilMs.put(service, untilMs);
    }

    @Override
    public void recordRequest(ServiceName service, long nowMs) {
        budget(service).recordFirstSend(workClassOf(service), ALL_TEAMS, nowMs);
    }

    @Override
    public boolean tryRetry(ServiceName service, long nowMs) {
        return budget(service).tryRetry(workClassOf(service), ALL_TEAMS, nowMs);
    }

    @Override
    public boolean mayRequestPermit(ServiceName service, long nowMs) {
        return allowance.isPresent()
                && nowMs >= permitsSuspendedUntilMs.getOrDefault(service, Long.MIN_VALUE);
    }

    @Override
    public void cancelRetry(ServiceName service, long countedMs, long nowMs) {
        budget(service).cancelRetry(workClassOf(service), ALL_TEAMS, countedMs, nowMs);
    }

    private RetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(service, s -> RetryBudget.create(share, 0));
    }

    private static WorkClassId workClassOf(ServiceName service) {
        return WorkClassId.of(service.value());
    }
}
