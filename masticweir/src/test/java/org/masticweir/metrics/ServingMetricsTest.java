package org.masticweir.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.primitives.ImmutableIntArray;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.time.ManualClock;

/** The serving metrics, from event to page. */
class ServingMetricsTest {
    private static final int MAX_TEAMS = 3;
    private static final long WINDOW_MS = 1_000;

    private final ManualClock clock = ManualClock.startingAt(0);
    private final MetricRegistry registry = new MetricRegistry();
    private final ServingMetrics metrics =
            ServingMetrics.of(registry, new MetricsTuning(MAX_TEAMS, WINDOW_MS), clock);

    private static RequestSpec request(String team) {
        return new RequestSpec(
                RequestId.of("r1"),
                TeamId.of(team),
                WorkClassId.of("reports"),
                ModelId.of("m"),
                true,
                ImmutableIntArray.of(),
                "",
                1,
                false);
    }

    private Snapshot snapshot(String name) {
        return registry.getHistograms().get(name).getSnapshot();
    }

    /** How many series there can be. */
    @Nested
    class Bounds {
        @Test
        void teamsBeyondTheBoundShareOther() {
            for (int i = 0; i < 50; i++) {
                metrics.tokenGap(request("t" + i), 5);
            }
            metrics.tokenGap(request("t0"), 5);
            long series =
                    registry.getHistograms().keySet().stream()
                            .filter(n -> n.startsWith("token_gap_ms.team."))
                            .count();
            assertEquals(MAX_TEAMS + 1, series);
            assertEquals(2, snapshot("token_gap_ms.team.t0").size());
            assertEquals(50 - MAX_TEAMS, snapshot("token_gap_ms.team.other").size());
            assertEquals(51, snapshot("token_gap_ms.class.reports").size());
        }

        @Test
        void teamNamedOtherTakesNoPlace() {
            metrics.firstToken(request("other"), 1);
            IntStream.range(0, MAX_TEAMS).forEach(i -> metrics.firstToken(request("t" + i), 1));
            assertEquals(1, snapshot("first_token_ms.team.other").size());
            assertEquals(1, snapshot("first_token_ms.team.t2").size());
        }
    }

    /** What the histograms hold. */
    @Nested
    class Values {
        @Test
        void quantilesComeBackWithinAHundredth() {
            IntStream.rangeClosed(1, 10_000).forEach(i -> metrics.firstToken(request("t"), i));
            Snapshot s = snapshot("first_token_ms.class.reports");
            assertEquals(5_000, s.getMedian(), 50);
            assertEquals(9_900, s.get99thPercentile(), 99);
            assertEquals(10_000, s.getMax(), 100);
            assertEquals(1, s.getMin());
        }

        @Test
        void valuesDecayAfterOneToTwoWindows() {
            metrics.firstToken(request("t"), 7);
            clock.advanceMs(WINDOW_MS);
            metrics.firstToken(request("t"), 9);
            assertEquals(2, snapshot("first_token_ms.team.t").size());
            clock.advanceMs(WINDOW_MS);
            assertEquals(1, snapshot("first_token_ms.team.t").size());
            assertEquals(9, snapshot("first_token_ms.team.t").getMax());
            clock.advanceMs(2 * WINDOW_MS);
            assertEquals(0, snapshot("first_token_ms.team.t").size());
            assertEquals(2, registry.getHistograms().get("first_token_ms.team.t").getCount());
        }

        @Test
        void valuesOutOfRangeAreClamped() {
            metrics.tokenGap(request("t"), -1);
            metrics.tokenGap(request("t"), Long.MAX_VALUE);
            Snapshot s = snapshot("token_gap_ms.team.t");
            assertEquals(0, s.getMin());
            assertEquals(WindowedReservoir.MAX_VALUE_MS, s.getMax(), s.getMax() / 100.0);
        }

        @Test
        void threadsAcrossSwapsLoseNothing() {
            IntStream.range(0, 40_000)
                    .parallel()
                    .forEach(
                            i -> {
                                metrics.tokenGap(request("t"), i % 100);
                                if (i == 20_000) {
                                    clock.advanceMs(WINDOW_MS);
                                }
                            });
            assertEquals(40_000, snapshot("token_gap_ms.team.t").size());
        }
    }

    /** What an event costs. */
    @Nested
    class Cost {
        private static final int CALLS = 100_000;

        private long allocatedBytes(RequestSpec request) {
            ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
            long before = threads.getCurrentThreadAllocatedBytes();
            for (int i = 0; i < CALLS; i++) {
                metrics.tokenGap(request, i & 0xff);
            }
            return threads.getCurrentThreadAllocatedBytes() - before;
        }

        @Test
        void tokenGapAllocatesNothing() {
            RequestSpec request = request("t");
            allocatedBytes(request);
            long bytes = allocatedBytes(request);
            assertTrue(bytes < CALLS, bytes + " bytes in " + CALLS + " calls");
        }
    }

    /** The page. */
    @Nested
    class Page {
        private JsonNode page() throws Exception {
            return new ObjectMapper().readTree(MetricsPage.of(registry).json());
        }

        @Test
        void countersAndHistogramsAreShown() throws Exception {
            metrics.completed(request("t"), 40, 200);
            metrics.resumed(request("t"), 90, true, 31);
            metrics.resumed(request("t"), 10, false, 0);
            metrics.failed(
                    request("t"), MasticweirException.notRun(ErrorCode.OVERLOADED, "full"), 1);
            JsonNode counters = page().get("counters");
            assertEquals(200, counters.get("tokens.class.reports").asInt());
            assertEquals(1, counters.get("recoveries_moved.team.t").asInt());
            assertEquals(1, counters.get("recoveries_reread.team.t").asInt());
            assertEquals(31, counters.get("recomputed_tokens.team.t").asInt());
            assertEquals(1, counters.get("failed.code.overloaded").asInt());
            assertEquals(1, counters.get("failed.verdict.not_run").asInt());
            JsonNode resume = page().get("histograms").get("resume_ms.class.reports");
            assertEquals(
                    "{\"count\":2,\"recent_count\":2,\"p50\":10,\"p90\":90,\"p99\":90,"
                            + "\"p99.9\":90,\"max\":90}",
                    resume.toString());
        }

        @Test
        void failingGaugeHidesNoOther() throws Exception {
            Gauge<Integer> broken =
                    () -> {
                        throw new IllegalStateException("broken");
                    };
            registry.registerGauge("broken", broken);
            registry.gauge("requests", () -> () -> 4);
            assertEquals(4, page().get("gauges").get("requests").asInt());
            assertFalse(page().get("gauges").has("broken"));
            assertTrue(page().get("counters").has("failed.code.internal"));
        }
    }
}
