package org.masticweir.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;

/** Many routers before few engines whose reports reach all of them late and together. */
class LaggingReportsTest {
    private static final int ROUTERS = 20;
    private static final int ENGINES = 20;
    private static final int TICK_MS = 10;
    private static final int END_MS = 30_000;

    /** How reports reach the routers unless a test says otherwise. */
    private static final Reporting LATE = new Reporting(1_000, 200, 0);

    /** Each router reads each engine itself: often, and the answer is there at once. */
    private static final Reporting READ = new Reporting(200, TICK_MS, 0);

    /** One router reads, and tells what moved by a sixteenth of the capacity. */
    private static final Reporting SHARED = new Reporting(1_000, 200, Engines.CAPACITY / 16);

    /** Half a batch: the longest queue that a steady load within capacity may cause. */
    private static final int CHOSEN_BOUND = Engines.CAPACITY / 2;

    /** All routers read the same report. */
    @Nested
    class Herding {
        /*
         * Callers see some requests wait for seconds while most engines have room. Each second the
         * reports show one engine as the emptiest; all routers read the same report and send all
         * they get to that engine until the next report. Cause: sends since the report don't count.
         */
        @Test
        void ownSendsAndSamplingKeepQueuesShort(TestReporter reporter) {
            Figures f = Figures.measure(0.85, 0);
            reporter.publishEntry("herding", f.toString());
            assertTrue(f.leastReported > 100, f.toString());
            assertTrue(f.expectedDelay <= CHOSEN_BOUND, f.toString());
        }

        /*
         * Callers whose requests go to the older servers wait longer and longer while the others
         * have room. Four of twenty engines take twice the time for each request and get as many as
         * the rest. Cause: turns, and stale reports, don't tell how much an engine can take.
         */
        @Test
        void slowerEnginesGetLess(TestReporter reporter) {
            Figures f = Figures.measure(0.7, 4);
            reporter.publishEntry("slower engines", f.toString());
            assertTrue(f.roundRobin > 100, f.toString());
            assertTrue(f.expectedDelay <= 2 * CHOSEN_BOUND, f.toString());
        }
    }

    /** One router of a domain reads an engine for all; see {@code org.masticweir.reports}. */
    @Nested
    class Sharing {
        @Test
        void sharedReportsKeepQueuesShortToo() {
            for (double load : new double[] {0.7, 0.85}) {
                int read = expectedDelay(READ, load);
                int shared = expectedDelay(SHARED, load);
                System.out.printf(
                        "longest queue at load %.2f: read %d, shared %d%n", load, read, shared);
                assertTrue(read <= CHOSEN_BOUND, "read " + read);
                assertTrue(shared <= CHOSEN_BOUND, "shared " + shared);
            }
        }

        private int expectedDelay(Reporting reporting, double load) {
            Random random = new Random(7);
            return longestQueue(
                    f -> ExpectedDelayChooser.create(f, () -> random), load, 0, reporting);
        }
    }

    /** How often engines report, how late, and how far a load may move untold. */
    private record Reporting(int everyMs, int lagMs, int step) {}

    /** The longest queue on any engine under each chooser. */
    private record Figures(int leastReported, int roundRobin, int expectedDelay) {
        static Figures measure(double load, int slowEngines) {
            Random random = new Random(7);
            return new Figures(
                    longestQueue(f -> LeastReportedChooser.create(), load, slowEngines, LATE),
                    longestQueue(f -> RoundRobinChooser.create(), load, slowEngines, LATE),
                    longestQueue(
                            f -> ExpectedDelayChooser.create(f, () -> random),
                            load,
                            slowEngines,
                            LATE));
        }
    }

    private static int longestQueue(
            Function<InFlight, EngineChooser> chooser,
            double load,
            int slowEngines,
            Reporting reporting) {
        Random random = new Random(42);
        List<InFlight> counts = new ArrayList<>();
        List<EngineChooser> choosers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            counts.add(InFlight.create());
            choosers.add(chooser.apply(counts.get(i)));
        }
        Fleet fleet = new Fleet(counts, slowEngines, reporting, random);
        double arrivals = load * ENGINES * Engines.CAPACITY * TICK_MS / Engines.HOLD_MS;
        for (long now = 0; now < END_MS; now += TICK_MS) {
            fleet.tick(now);
            for (double p = arrivals; p > 0; p--) {
                if (random.nextDouble() < p) {
                    int router = random.nextInt(ROUTERS);
                    fleet.send(choosers.get(router), router, now);
                }
            }
        }
        return fleet.longestQueue;
    }

    /** Engines that work off what they get, and the reports that routers see of them. */
    private static final class Fleet {
        private final List<InFlight> counts;
        private final int slowEngines;
        private final Reporting reporting;
        private final Random random;
        private final int[] told = new int[ENGINES];
        private final List<List<long[]>> running = new ArrayList<>();
        private final List<Deque<Integer>> waiting = new ArrayList<>();
        private RoutingSnapshot taken;
        private RoutingSnapshot seen;
        private int longestQueue;

        Fleet(List<InFlight> counts, int slowEngines, Reporting reporting, Random random) {
            this.reporting = reporting;
            this.slowEngines = slowEngines;
            this.counts = counts;
            this.random = random;
            for (int i = 0; i < ENGINES; i++) {
                running.add(new ArrayList<>());
                waiting.add(new ArrayDeque<>());
            }
            taken = reports(0);
            seen = taken;
        }

        void send(EngineChooser chooser, int router, long now) {
            RouteChoice choice = chooser.choose(seen, Engines.query(), now);
            EngineView e = choice.engine().orElseThrow();
            counts.get(router).sent(e.id(), now);
            int i = Integer.parseInt(e.id().value().substring(1));
            waiting.get(i).add(router);
        }

        void tick(long now) {
            for (int i = 0; i < ENGINES; i++) {
                EngineView e = Engines.engine("e" + i, 0);
                running.get(i).stream()
                        .filter(r -> r[1] <= now)
                        .forEach(r -> counts.get((int) r[0]).finished(e.id(), now));
                running.get(i).removeIf(r -> r[1] <= now);
                while (running.get(i).size() < Engines.CAPACITY && !waiting.get(i).isEmpty()) {
                    long mean = i < slowEngines ? 2 * Engines.HOLD_MS : Engines.HOLD_MS;
                    long hold = mean / 2 + random.nextLong(mean);
                    running.get(i).add(new long[] {waiting.get(i).poll(), now + hold});
                }
                longestQueue = Math.max(longestQueue, waiting.get(i).size());
            }
            if (now % reporting.everyMs == 0) {
                taken = reports(now);
            }
            if (now % reporting.everyMs == reporting.lagMs) {
                seen = taken;
            }
        }

        private RoutingSnapshot reports(long now) {
            EngineView[] views = new EngineView[ENGINES];
            for (int i = 0; i < ENGINES; i++) {
                int load = running.get(i).size() + waiting.get(i).size();
                if (Math.abs(load - told[i]) >= reporting.step) {
                    told[i] = load;
                }
                views[i] = Engines.engine("e" + i, Engines.HOME, told[i], now);
            }
            return Engines.snapshot(views);
        }
    }
}
