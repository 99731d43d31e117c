package org.masticweir.bench.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests files and lines made from results. */
class ReportTest {
    private static final LatencySummary LATENCY = new LatencySummary(3, 10, 20, 30, 40, 50);
    private static final LoadResult LOAD =
            new LoadResult(
                    "SPAARSTRAAL",
                    20,
                    5,
                    1,
                    ImmutableList.of(
                            new ClassResult(
                                    "<lookups>",
                                    9,
                                    7,
                                    ImmutableList.of(new NamedCount("OVERLOADED", 1)),
                                    ImmutableList.of(new NamedCount("MAY_HAVE_RUN", 1)),
                                    6,
                                    0.3,
                                    LATENCY,
                                    LATENCY,
                                    LATENCY)),
                    ImmutableList.of(new TeamResult("advisers", 4, 3)),
                    new ReturnCounts(2, 6, 1, 3, 4),
                    new TokenCheck(7, 0, 0, 0, 0),
                    LATENCY,
                    ImmutableList.of(new TimelinePoint(0, 4), new TimelinePoint(250, 6)));

    private static RunResult run(String setting, LatencySummary resume) {
        FaultResult fault = new FaultResult(1000, "KILL", "e1", true, 3, 0, resume);
        return new RunResult(
                setting,
                LOAD,
                ImmutableList.of(fault),
                resume,
                new ExtraWork(100, 110, 50, 60, 10),
                new SendCounts(10, 11, 2),
                3,
                1);
    }

    private static LatencySummary resume(long count, long ms) {
        return new LatencySummary(count, ms, ms, ms, ms, ms);
    }

    private static final ExperimentResult EXPERIMENT =
            ExperimentResult.of(
                    ImmutableList.of(
                            run("A", resume(3, 100)),
                            run("B", resume(3, 40)),
                            run("A", resume(3, 300)),
                            run("B", resume(0, 0)),
                            run("A", resume(3, 120))));

    @Test
    void resultsRoundTripThroughJson(@TempDir Path directory) {
        Path load = directory.resolve("in/load.json");
        ResultJson.write(load, LOAD);
        assertEquals(LOAD, ResultJson.read(load, LoadResult.class));
        Path experiment = directory.resolve("experiment.json");
        ResultJson.write(experiment, EXPERIMENT);
        assertEquals(EXPERIMENT, ResultJson.read(experiment, ExperimentResult.class));
    }

    @Test
    void settingsAreComparedByMedianAndSpread() {
        assertEquals(
                ImmutableList.of(
                        new MetricSpread(Metric.RESUME_P99_MS, "A", new Spread(3, 120, 100, 300)),
                        // A run whose faults met no generation has no wait to tell.
                        new MetricSpread(Metric.RESUME_P99_MS, "B", new Spread(1, 40, 40, 40))),
                EXPERIMENT.of(Metric.RESUME_P99_MS));
        assertEquals(
                ImmutableList.of(
                        new MetricSpread(Metric.SENDS_PER_FIRST, "A", new Spread(3, 1.3, 1.3, 1.3)),
                        new MetricSpread(
                                Metric.SENDS_PER_FIRST, "B", new Spread(2, 1.3, 1.3, 1.3))),
                EXPERIMENT.of(Metric.SENDS_PER_FIRST));
        assertEquals(2, EXPERIMENT.of(Metric.RETURNS_PEAK).get(0).spread().median());
        assertTrue(
                EXPERIMENT
                        .groupLines()
                        .contains(
                                "team advisers: in target A 0.750 (0.750..0.750 of 3), B 0.750"
                                        + " (0.750..0.750 of 2); sent A 4 (4..4 of 3), B 4 (4..4 of"
                                        + " 2)"),
                EXPERIMENT.groupLines().toString());
        assertTrue(
                EXPERIMENT.summaryLine().contains("resume_p99_ms A 120 (100..300 of 3)"),
                EXPERIMENT.summaryLine());
    }

    @Test
    void pagesHoldTablesAndPlots(@TempDir Path directory) throws IOException {
        Path load = directory.resolve("load.html");
        HtmlReport.write(load, LOAD);
        Path experiment = directory.resolve("experiment.html");
        HtmlReport.write(experiment, EXPERIMENT);
        assertTrue(Files.readString(load).contains("&lt;lookups&gt;"));
        assertTrue(Files.readString(load).contains("src=\"data:image/png;base64,iVBOR"));
        assertTrue(Files.readString(experiment).contains("RESUME_P50_MS"));
    }

    @Test
    void summaryLineTellsEachClass() {
        String line = LOAD.summaryLine();
        assertEquals(1, line.lines().count());
        assertTrue(line.contains("<lookups> 7/9 done, 6 in target, 1 refused, 1 failed"), line);
    }
}
