package org.masticweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.RouterId;

/** The time between heartbeats, which follows the number of peers. */
class HeartbeatPaceTest {
    private static final MembershipSettings SETTINGS =
            MembershipSettings.DEFAULT.withHeartbeats(500, 5000, 6000, 1500, 4000);
    private static final int TICK_MS = 100;

    /**
     * An ask that announces a longer time is overtaken by an older answer on another connection.
     * Whoever goes by the older one still hears the next heartbeat before it suspects the sender.
     */
    @Property(seed = "7", tries = 200)
    void nextHeartbeatComesBeforeTheOlderAnnouncementsBound(
            @ForAll @IntRange(min = 0, max = 64) int few,
            @ForAll @IntRange(min = 0, max = 64) int many) {
        HeartbeatPace pace = new HeartbeatPace(Fleet.router(1, 1, 1), SETTINGS);
        for (int t = 0; t < 100_000; t += 500) {
            long before = pace.intervalMs();
            pace.adjust(t % 20_000 < 10_000 ? few : many, few, t);
            assertTrue(pace.intervalMs() * 5 / 4 < SETTINGS.suspectMs(before), "at " + t);
        }
    }

    @Test
    void silenceBoundsGrowWithTheAnnouncedTime() {
        assertEquals(1500, SETTINGS.suspectMs(0), "not announced");
        assertEquals(1500, SETTINGS.suspectMs(500));
        assertEquals(6500, SETTINGS.suspectMs(3000));
        assertEquals(4000, SETTINGS.deadMs(500));
        assertEquals(17_333, SETTINGS.deadMs(3000));
    }

    /** Routers whose views differ. */
    @Nested
    class Views {
        private final Fleet fleet = new Fleet(SETTINGS, TICK_MS);

        private void domain(int domain, int routers, long incarnation) {
            for (int i = 0; i < routers; i++) {
                fleet.add(Fleet.router(domain, i, incarnation));
            }
        }

        /** Runs for {@code ms} and returns the judgements of routers that in truth all live. */
        private Set<String> misjudged(int ms) {
            Set<String> seen = new TreeSet<>();
            for (int t = 0; t < ms; t += TICK_MS) {
                fleet.runMs(TICK_MS);
                fleet.views.forEach((at, view) -> note(seen, at, view));
            }
            return seen;
        }

        private void note(Set<String> seen, RouterId at, Membership view) {
            for (Member m : view.members()) {
                if (!m.state().announced()) {
                    seen.add(at + " sees " + m.router() + " " + m.state());
                }
            }
        }

        /**
         * A domain of 40 routers and one of 2 see fleets of different size, so that one sends
         * heartbeats several times as rarely. The small domain must not suspect the large one.
         */
        @Test
        void routersOfViewsOfDifferentSizeDoNotSuspectEachOther() {
            domain(0, 40, 1);
            domain(1, 2, 1);
            fleet.listAll(5);
            assertEquals(Set.of(), misjudged(60_000));
        }

        /**
         * All daemons are restarted together. Each starts with the shortest time and stretches it
         * as it learns of the others; nobody is taken for silent meanwhile.
         */
        @Test
        void restartOfAllMakesNobodySuspect() {
            domain(0, 40, 1);
            domain(1, 40, 1);
            fleet.listAll(5);
            fleet.runMs(20_000);
            domain(0, 40, 2);
            domain(1, 40, 2);
            fleet.listAll(6);
            assertEquals(Set.of(), misjudged(30_000));
        }

        /**
         * Half of a domain is cut off, is taken for dead and comes back. The others' time shrinks
         * and grows again with their view, and the routers that were never cut stay unsuspected.
         */
        @Test
        void partitionThatHealsMakesNoOtherSuspect() {
            domain(0, 24, 1);
            fleet.listAll(5);
            fleet.runMs(20_000);
            fleet.cut = (p, q) -> apart(p) != apart(q);
            Set<String> seen = misjudged(40_000);
            fleet.cut = (p, q) -> false;
            seen.addAll(misjudged(90_000));
            seen.removeIf(s -> apart(s.split(" ")[0]) != apart(s.split(" ")[2]));
            assertEquals(Set.of(), seen);
            assertEquals(Set.of(), misjudged(10_000));
        }

        private boolean apart(RouterId id) {
            return apart(id.value());
        }

        private boolean apart(String id) {
            return Integer.parseInt(id.substring(id.lastIndexOf('-') + 1)) < 12;
        }
    }
}
