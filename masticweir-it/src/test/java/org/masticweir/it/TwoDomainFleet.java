package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import org.masticweir.bench.caller.CallRequest;

/**
 * Two routers in each of two failure domains, so that every router has a holder in its own domain.
 *
 * <p>Routers m1 and m2 are in domain a, m3 and m4 in domain b. Used by one test at a time.
 */
final class TwoDomainFleet implements HealableBed {
    private static final ImmutableList<RouterLauncher.Spec> SPECS =
            ImmutableList.of(
                    new RouterLauncher.Spec("m1", "a"),
                    new RouterLauncher.Spec("m2", "a"),
                    new RouterLauncher.Spec("m3", "b"),
                    new RouterLauncher.Spec("m4", "b"));

    private final FleetRouters routers;

    private TwoDomainFleet(FleetRouters routers) {
        this.routers = checkNotNull(routers, "routers");
    }

    /** Starts all processes and returns once the routers see each other serving. */
    static TwoDomainFleet start() {
        return new TwoDomainFleet(FleetRouters.start("two-domains", SPECS));
    }

    TestBed bed() {
        return routers.bed();
    }

    /** Returns the routers of domain a. */
    ImmutableList<FleetRouter> here() {
        return routers.all().subList(0, 2);
    }

    /** Returns the routers of domain b. */
    ImmutableList<FleetRouter> there() {
        return routers.all().subList(2, 4);
    }

    RunningCall submit(FleetRouter router, CallRequest request) {
        return RunningCall.submit(bed().caller(), router.callers(), request);
    }

    /** Returns one figure of the metrics page of {@code router}; missing for none. */
    JsonNode metric(FleetRouter router, String kind, String name) {
        return routers.operators(router)
                .query("/metrics")
                .orElseThrow(() -> new AssertionError(router + " shows no metrics"))
                .path(kind)
                .path(name);
    }

    /** Ends every fault and returns once all routers see each other and all back ends. */
    @Override
    public void heal() {
        routers.heal();
    }

    @Override
    public void close() {
        routers.close();
    }
}
