package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.SetMultimap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.masticweir.id.RouterId;
import org.masticweir.relay.SimulatedFleet.Router;
import org.masticweir.relay.SimulatedFleet.StoreFault;

/**
 * Distribution of catalog versions and of servers' leaves under random schedules of faults: the
 * store answers late, does not answer, refuses routers or returns from an older copy, links are
 * partitioned, and routers are killed or stand still.
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

    private static final int SERVERS = 8;
    private static final int FAULTS = 9;
    private static final int FAULTS_AND_DRILLS = 12;

    /** Most copies of the store that are kept; the oldest is some seconds old. */
    private static final int COPIES = 6;

    /** Longest time after the store's return until its writers have written again, in ms. */
    private static final int REWRITE_MS = 2_000;

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
        private final Deque<FakeStore.Copy> copies = new ArrayDeque<>();
        private final Set<String> leaving = new HashSet<>();

        /** Servers that a router knows to be leaving, by router. */
        private final SetMultimap<RouterId, String> knownLeaving = HashMultimap.create();

        private final int faults;
        private long version = 1;

        Simulation(long seed, int routers, int domains, int faults) {
            random = new SplittableRandom(seed);
            this.faults = faults;
            fleet = new SimulatedFleet(routers, domains, BYTES_PER_MS, text(1));
            for (int i = 0; i < SERVERS; i++) {
                fleet.store.put(server(i), entry(server(i)));
            }
            copies.add(fleet.store.copy());
            fleet.runFor(SETTLED_MS);
        }

        private static String server(int index) {
            return "s" + index;
        }

        private String entry(String server) {
            return leaving.contains(server) ? "90-" : "90";
        }

        private static String text(long version) {
            return version + "\n" + "{\"a route\"}\n".repeat(2_000) + version;
        }

        private Router randomRouter() {
            List<Router> all = List.copyOf(fleet.routers.values());
            return all.get(random.nextInt(all.size()));
        }

        void step() {
            copies.addFirst(fleet.store.copy());
            if (copies.size() > COPIES) {
                copies.removeLast();
            }
            switch (random.nextInt(faults)) {
                case 0, 1 -> fleet.store.catalog(text(++version));
                case 2 -> fleet.store.latencyMs = ANSWERS_MS[random.nextInt(ANSWERS_MS.length)];
                case 3 -> randomRouter().fault = StoreFault.values()[random.nextInt(3)];
                case 4 -> partition(randomRouter().info.id());
                case 5 -> stop(randomRouter());
                case 6 -> pause(randomRouter());
                case 7 -> resumeAll();
                case 9, 10 -> leave(server(random.nextInt(SERVERS)));
                case 11 -> drill();
                default -> fleet.isCut = (from, to) -> false;
            }
            fleet.assertNoDenialByOlderVersion(
                    random.nextInt(1_500), SimulatedFleet.CHANGE_BOUND_MS);
            assertNoVersionDecreased();
            assertNoLeaveForgotten();
        }

        private void leave(String server) {
            leaving.add(server);
            fleet.store.put(server, entry(server));
        }

        /** The store returns from an older copy; the operator and the servers write again. */
        private void drill() {
            FakeStore.Copy copy = List.copyOf(copies).get(random.nextInt(copies.size()));
            copies.clear();
            copies.add(copy);
            fleet.store.goAway();
            fleet.assertNoDenialByOlderVersion(
                    random.nextInt(1_000), SimulatedFleet.CHANGE_BOUND_MS);
            fleet.store.returnFrom(copy);
            writeLater(() -> fleet.store.catalog(text(version)));
            for (int i = 0; i < SERVERS; i++) {
                String server = server(i);
                writeLater(() -> fleet.store.put(server, entry(server)));
            }
        }

        private void writeLater(Runnable write) {
            fleet.scheduler.at(fleet.nowMs() + random.nextInt(REWRITE_MS), write);
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

        private void assertNoLeaveForgotten() {
            for (Router router : fleet.routers.values()) {
                for (String server : leaving) {
                    if (!router.sendsTo(server)) {
                        knownLeaving.put(router.info.id(), server);
                    } else {
                        assertFalse(
                                knownLeaving.containsEntry(router.info.id(), server),
                                router.info.id() + " sends to " + server + ", which leaves");
                    }
                }
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
        assertKeepsPromises(new Simulation(seed, ROUTERS, DOMAINS, FAULTS));
    }

    @Property(tries = 100, seed = "33")
    void versionsAndLeavesSurviveOlderCopies(@ForAll long seed) {
        assertKeepsPromises(new Simulation(seed, ROUTERS, DOMAINS, FAULTS_AND_DRILLS));
    }

    @Property(tries = 4, seed = "54")
    void largeFleetKeepsThePromises(@ForAll long seed) {
        assertKeepsPromises(new Simulation(seed, LARGE_ROUTERS, LARGE_DOMAINS, FAULTS));
    }

    @Property(tries = 4, seed = "33")
    void largeFleetSurvivesOlderCopies(@ForAll long seed) {
        assertKeepsPromises(new Simulation(seed, LARGE_ROUTERS, LARGE_DOMAINS, FAULTS_AND_DRILLS));
    }

    /**
     * No denial by an older version, no version that decreases, no leave that is forgotten, and one
     * state at the end.
     */
    private static void assertKeepsPromises(Simulation simulation) {
        for (int i = 0; i < STEPS; i++) {
            simulation.step();
        }
        simulation.endFaults();
        for (Router router : simulation.fleet.routers.values()) {
            if (router.isRunning) {
                assertEquals(
                        simulation.version, router.catalogVersion(), router.info.id() + " holds");
                for (int i = 0; i < SERVERS; i++) {
                    String server = Simulation.server(i);
                    boolean isLeaving = simulation.leaving.contains(server);
                    assertEquals(!isLeaving, router.sendsTo(server), router.info.id() + server);
                }
            }
        }
    }
}
