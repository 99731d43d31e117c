package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.retry.RetryBudget;

/**
 * This router's part of the budget of second sends that all routers share; owned by the traffic
 * thread.
 *
 * <p>Load that it answers: servers refuse or break, each refusal is sent again, and the repeats
 * make up the overload. The shared budget is a share of the requests and an allowance; each router
 * keeps to that share of what it has received itself and to an equal part of the allowance, so that
 * no word between routers is needed to hold it.
 */
public final class ServiceRepeats implements RepeatGate {
    /** Part of the shared budget that is used: windows of routers don't begin together. */
    private static final double USED = 0.8;

    private static final TeamId ALL_TEAMS = TeamId.of("all");

    private final int routers;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private double share;
    private int floor;

    private ServiceRepeats(int routers) {
        this.routers = routers;
    }

    /**
     * Returns a part of the shared budget.
     *
     * @param share repeats allowed for a request, over all routers
     * @param allowance repeats allowed beyond that in a window, over all routers
     * @param routers routers among which the allowance is divided
     */
    public static ServiceRepeats partOf(double share, double allowance, int routers) {
        checkArgument(routers >= 1, "%s routers", routers);
        ServiceRepeats part = new ServiceRepeats(routers);
        part.changeTo(share, allowance);
        return part;
    }

    /** Takes another shared budget; what was sent in the last window is forgotten. */
    public void changeTo(double sharedShare, double allowance) {
        checkArgument(allowance >= 0, "allowance %s", allowance);
        double ownShare = sharedShare * USED;
        int ownFloor = wholeRepeats(allowance * USED / routers);
        if (ownShare != share || ownFloor != floor) {
            budgets.clear();
        }
        share = ownShare;
        floor = ownFloor;
    }

    /**
     * Returns the whole repeats in {@code part}, at least one: rounded down, as the parts of all
     * routers together must stay within what is shared.
     */
    private static int wholeRepeats(double part) {
        return Math.max(1, (int) part);
    }

    @Override
    public void requested(ServiceName service, long nowMs) {
        budget(service).firstSent(classOf(service), ALL_TEAMS, nowMs);
    }

    @Override
    public boolean tryRepeat(ServiceName service, long nowMs) {
        return budget(service).tryRetry(classOf(service), ALL_TEAMS, nowMs);
    }

    @Override
    public void neverArrived(ServiceName service, long countedMs, long nowMs) {
        budget(service).neverSent(classOf(service), ALL_TEAMS, countedMs, nowMs);
    }

    private RetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(service, s -> RetryBudget.create(share, floor));
    }

    private static WorkClassId classOf(ServiceName service) {
        return WorkClassId.of(service.value());
    }
}
