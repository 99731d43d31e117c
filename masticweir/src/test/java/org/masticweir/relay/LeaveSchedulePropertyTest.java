package org.masticweir.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.masticweir.id.RouterId;
import org.masticweir.relay.SimulatedFleet.Router;
import org.masticweir.relay.SimulatedFleet.StoreFault;

/**
 * Guards against requests that reach a server after its leave: some routers stand still, or are cut
 * off from the store or from each other, while servers say that they leave or are removed. The
 * other routers must know of each leave in time; the store is sound all the while.
 */
class LeaveSchedulePropertyTest {
    private static final long SETTLED_MS = 8_000;
    private static final int SERVERS = 12;

    /** Time after the store's acknowledgement after which a leaving server gets nothing, in ms. */
    private static final long DRAIN_MS = 2_000;

    private static final int FAULT_MS = 7_000;

    /** A fleet in which some routers are disturbed. */
    private static final class Simulation {
        private final SplittableRandom random;
        private final SimulatedFleet fleet;
        private final Set<RouterId> disturbed = new HashSet<>();
        private final Set<RouterId> cutOff = new HashSet<>();

        Simulation(long seed, int routers, int domains) {
            random = new SplittableRandom(seed);
            fleet = new SimulatedFleet(routers, domains);
            for (int i = 0; i < SERVERS; i++) {
                fleet.store.put("s" + i, "90");
            }
            fleet.runFor(SETTLED_MS);
            fleet.isCut = (a, b) -> cutOff.contains(a) || cutOff.contains(b);
        }

        /** Disturbs one to three routers, mostly those that read the store. */
        void disturb() {
            List<Router> all = new ArrayList<>(fleet.routers.values());
            int count = 1 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                String domain = all.get(random.nextInt(all.size())).info.domain().value();
                List<Router> ranked = fleet.byRank(domain);
                disturb(ranked.get(random.nextInt(Math.min(3, ranked.size()))));
            }
        }

        private void disturb(Router router) {
            disturbed.add(router.info.id());
            long startMs = fleet.nowMs() + random.nextInt(1_000);
            long endMs = startMs + random.nextInt(FAULT_MS);
            int kind = random.nextInt(4);
            fleet.scheduler.at(startMs, () -> begin(router, kind));
            fleet.scheduler.at(endMs, () -> end(router));
        }

        private void begin(Router router, int kind) {
            switch (kind) {
                case 0 -> router.isRunning = false;
                case 1 -> router.fault = StoreFault.SILENT;
                case 2 -> router.fault = StoreFault.REFUSED;
                default -> cutOff.add(router.info.id());
            }
        }

        private void end(Router router) {
            router.isRunning = true;
            router.fault = StoreFault.NONE;
            cutOff.remove(router.info.id());
        }

        /** A server leaves at some time around the end of the disturbance. */
        void leave(int server) {
            String name = "s" + server;
            fleet.runFor(random.nextInt(1_500));
            if (random.nextBoolean()) {
                fleet.store.put(name, "90-");
            } else {
                fleet.store.remove(name);
            }
            long dueMs = fleet.nowMs() + DRAIN_MS;
            fleet.scheduler.at(dueMs, () -> assertNoneSendsTo(name));
        }

        private void assertNoneSendsTo(String server) {
            for (Router router : fleet.routers.values()) {
                if (router.sendsTo(server) && !disturbed.contains(router.info.id())) {
                    throw new AssertionError(
                            router.info.id() + " sends to " + server + " at " + fleet.nowMs());
                }
            }
        }
    }

    private static void assertLeavesAreKnownInTime(Simulation simulation) {
        simulation.disturb();
        for (int i = 0; i < SERVERS; i++) {
            simulation.leave(i);
        }
        simulation.fleet.runFor(DRAIN_MS + 1);
    }

    @Property(tries = 300, seed = "60")
    void smallFleetKnowsInTime(@ForAll long seed) {
        assertLeavesAreKnownInTime(new Simulation(seed, 8, 4));
    }

    @Property(tries = 30, seed = "60")
    void fleetOf61KnowsInTime(@ForAll long seed) {
        assertLeavesAreKnownInTime(new Simulation(seed, 61, 4));
    }

    @Property(tries = 15, seed = "60")
    void fleetOf95KnowsInTime(@ForAll long seed) {
        assertLeavesAreKnownInTime(new Simulation(seed, 95, 6));
    }

    @Property(tries = 2, seed = "60")
    void fleetOf390KnowsInTime(@ForAll long seed) {
        assertLeavesAreKnownInTime(new Simulation(seed, 390, 9));
    }
}
