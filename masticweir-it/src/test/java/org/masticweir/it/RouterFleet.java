package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.collect.ImmutableList;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.HttpCaller;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/**
 * Three routers that know each other, on a test bed of their own.
 *
 * <p>The first two are in domain a, the third in domain b, so that the second holds the copies of
 * the first, and the third those of both once one of them is lost. Used by one test at a time.
 */
final class RouterFleet implements HealableBed {
    private static final ImmutableList<RouterLauncher.Spec> SPECS =
            ImmutableList.of(
                    new RouterLauncher.Spec("n1", "a"),
                    new RouterLauncher.Spec("n2", "a"),
                    new RouterLauncher.Spec("n3", "b"));

    private final FleetRouters routers;

    private RouterFleet(FleetRouters routers) {
        this.routers = checkNotNull(routers, "routers");
    }

    /** Starts all processes and returns once the routers see each other serving. */
    static RouterFleet start() {
        return new RouterFleet(FleetRouters.start("fleet", SPECS));
    }

    TestBed bed() {
        return routers.bed();
    }

    HttpCaller calls() {
        return routers.calls();
    }

    /** Returns the first router, in domain a. */
    FleetRouter first() {
        return routers.all().get(0);
    }

    /** Returns the second router, in domain a, which holds the first one's copies. */
    FleetRouter second() {
        return routers.all().get(1);
    }

    /** Returns the third router, in domain b. */
    FleetRouter third() {
        return routers.all().get(2);
    }

    RunningCall submit(FleetRouter router, CallRequest request) {
        return RunningCall.submit(bed().caller(), router.callers(), request);
    }

    /** Reads {@code request} again at {@code router}, after the event named. */
    RunningCall readAgain(FleetRouter router, CallRequest request, String lastEventId) {
        return RunningCall.readAgain(bed().caller(), router.callers(), request, lastEventId);
    }

    /** Returns what {@code router} shows its operators of {@code request}; missing for nothing. */
    JsonNode shownAt(FleetRouter router, CallRequest request) {
        String id = RequestId.forKey(TeamId.of(request.team()), request.key()).value();
        for (JsonNode shown : operators(router, "/v1/requests").path("requests")) {
            if (shown.path("id").asText().equals(id)) {
                return shown;
            }
        }
        return MissingNode.getInstance();
    }

    /** Returns what {@code router} tells its operators of {@code path}; missing for no answer. */
    JsonNode operators(FleetRouter router, String path) {
        return routers.operators(router).query(path).orElse(MissingNode.getInstance());
    }

    /** Cuts every link between routers at once, so that no copy moves to another router first. */
    void cutPeers() {
        setPeers("cut");
    }

    void passPeers() {
        setPeers("pass");
    }

    /** Delays all that other routers send to {@code router}, and its answers. */
    void delayPeersOf(FleetRouter router, long ms) {
        bed().proxy().delay(FleetRouters.peerRoute(router.id()), ms);
    }

    /** Ends every fault and returns once all routers see each other and all back ends. */
    @Override
    public void heal() {
        platformFault("{\"slow_ms\":0,\"lose_answers\":0}");
        routers.heal();
    }

    /** Sends one fault to the platform. */
    void platformFault(String json) {
        if (!bed().control().control(bed().platform(), json)) {
            throw new AssertionError("the platform did not take " + json);
        }
    }

    @Override
    public void close() {
        routers.close();
    }

    private void setPeers(String mode) {
        bed().proxy()
                .setAll(
                        routers.all().stream()
                                .map(r -> FleetRouters.peerRoute(r.id()))
                                .collect(ImmutableList.toImmutableList()),
                        mode);
    }
}
