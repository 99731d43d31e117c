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
    private static final int REPORT_MS = 1_000;
    private static final int LAG_MS = 200;

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

    /** The longest queue on any engine under each chooser. */
    private record Figures(int leastReported, int roundRobin, int expectedDelay) {
        static Figures measure(double load, int slowEngines) {
            Random random = new Random(7);
            return new Figures(
                    longestQueue(f -> LeastReportedChooser.create(), load, slowEngines),
                    longestQueue(f -> RoundRobinChooser.create(), load, slowEngines),
                    longestQueue(
                            f -> ExpectedDelayChooser.create(f, () -> random), load, slowEngines));
        }
    }

    private static int longestQueue(
            Function<InFlight, EngineChooser> chooser, double load, int slowEngines) {
        Random random = new Random(42);
        List<InFlight> counts = new ArrayList<>();
        List<EngineChooser> choosers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            counts.add(InFlight.create());
            choosers.add(chooser.apply(counts.get(i)));
        }
        Fleet fleet = new Fleet(counts, slowEngines, random);
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
        private final Random random;
        private final List<List<long[]>> running = new ArrayList<>();
        private final List<Deque<Integer>> waiting = new ArrayList<>();
        private RoutingSnapshot taken = reports(0);
        private RoutingSnapshot seen = taken;
        private int longestQueue;

        Fleet(List<InFlight> counts, int slowEngines, Random random) {
            this.slowEngines = slowEngines;
            this.counts = counts;
            this.random = random;
            for (int i = 0; i < ENGINES; i++) {
                running.add(new ArrayList<>());
                waiting.add(new ArrayDeque<>());
            }
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
            if (now % REPORT_MS == 0) {
                taken = reports(now);
            }
            if (now % REPORT_MS == LAG_MS) {
                seen = taken;
            }
        }

        private RoutingSnapshot reports(long now) {
            EngineView[] views = new EngineView[ENGINES];
            for (int i = 0; i < ENGINES; i++) {
                int load = running.isEmpty() ? 0 : running.get(i).size() + waiting.get(i).size();
                views[i] = Engines.engine("e" + i, Engines.HOME, load, now);
            }
            return Engines.snapshot(views);
        }
    }
}
