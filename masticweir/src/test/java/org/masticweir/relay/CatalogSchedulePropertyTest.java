package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.masticweir.id.RouterId;
import org.masticweir.relay.SimulatedFleet.Router;
import org.masticweir.relay.SimulatedFleet.StoreFault;

/**
 * Distribution of catalog versions under random schedules of faults: the store answers late, does
 * not answer or refuses routers, links are partitioned, and routers are killed or stand still.
 */
class CatalogSchedulePropertyTest {
    private static final int ROUTERS = 24;
    private static final int DOMAINS = 4;
    private static final int LARGE_ROUTERS = 95;
    private static final int LARGE_DOMAINS = 6;
    private static final int STEPS = 30;
    private static final double BYTES_PER_MS = 1_750;
    private static final long SETTLED_MS = 8_000;

    /** Time within which any change is in force everywhere after all faults have ended, in ms. */
    private static final long CONVERGENCE_MS = 10_000;

    private static final long[] ANSWERS_MS = {4, 100, 1_330, 3_000};

    /**
     * A simulated fleet, the newest version in the store, and the version last observed at each
     * router.
     */
    private static final class Simulation {
        private final SplittableRandom random;
        private final SimulatedFleet fleet;
        private final Map<RouterId, Long> observedVersions = new HashMap<>();
        private final List<Router> paused = new ArrayList<>();
        private long version = 1;

        Simulation(long seed, int routers, int domains) {
            random = new SplittableRandom(seed);
            fleet = new SimulatedFleet(routers, domains, BYTES_PER_MS, text(1));
            fleet.runFor(SETTLED_MS);
        }

        private static String text(long version) {
            return version + "\n" + "{\"a route\"}\n".repeat(2_000) + version;
        }

        private Router randomRouter() {
            List<Router> all = List.copyOf(fleet.routers.values());
            return all.get(random.nextInt(all.size()));
        }

        void step() {
            switch (random.nextInt(9)) {
                case 0, 1 -> fleet.store.catalog(text(++version));
                case 2 -> fleet.store.latencyMs = ANSWERS_MS[random.nextInt(ANSWERS_MS.length)];
                case 3 -> randomRouter().fault = StoreFault.values()[random.nextInt(3)];
                case 4 -> partition(randomRouter().info.id());
                case 5 -> stop(randomRouter());
                case 6 -> pause(randomRouter());
                case 7 -> resumeAll();
                default -> fleet.isCut = (from, to) -> false;
            }
            fleet.assertNoDenialByOlderVersion(
                    random.nextInt(1_500), SimulatedFleet.CHANGE_BOUND_MS);
            assertNoVersionDecreased();
        }

        private void partition(RouterId router) {
            fleet.isCut = (from, to) -> from.equals(router) || to.equals(router);
        }

        /** Keeps at least a third of the routers running, so that a fleet remains to be checked. */
        private void stop(Router router) {
            long running = fleet.routers.values().stream().filter(r -> r.isRunning).count();
            if (running > fleet.routers.size() / 3) {
                router.stopAndCloseLinks();
            }
        }

        private void pause(Router router) {
            if (router.isRunning) {
                router.isRunning = false;
                paused.add(router);
            }
        }

        private void resumeAll() {
            paused.forEach(r -> r.isRunning = true);
            paused.clear();
        }

        private void assertNoVersionDecreased() {
            for (Router router : fleet.routers.values()) {
                long now = router.catalogVersion();
                long before = observedVersions.getOrDefault(router.info.id(), 0L);
                assertTrue(now >= before, router.info.id() + " from " + before + " to " + now);
                observedVersions.put(router.info.id(), now);
            }
        }

        void endFaults() {
            resumeAll();
            fleet.isCut = (from, to) -> false;
            fleet.store.latencyMs = ANSWERS_MS[0];
            fleet.routers.values().forEach(r -> r.fault = StoreFault.NONE);
            fleet.runFor(CONVERGENCE_MS);
        }
    }

    @Property(tries = 60, seed = "39")
    void versionsNeverDecreaseAndAllRoutersConverge(@ForAll long seed) {
        assertKeepsPromises(new Simulation(seed, ROUTERS, DOMAINS));
    }

    @Property(tries = 4, seed = "54")
    void largeFleetKeepsThePromises(@ForAll long seed) {
        assertKeepsPromises(new Simulation(seed, LARGE_ROUTERS, LARGE_DOMAINS));
    }

    /** No denial by an older version, no version that decreases, and one version at the end. */
    private static void assertKeepsPromises(Simulation simulation) {
        for (int i = 0; i < STEPS; i++) {
            simulation.step();
        }
        simulation.endFaults();
        for (Router router : simulation.fleet.routers.values()) {
            if (router.isRunning) {
                assertEquals(
                        simulation.version, router.catalogVersion(), router.info.id() + " holds");
            }
        }
    }
}
