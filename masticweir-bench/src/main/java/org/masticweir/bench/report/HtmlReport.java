package org.masticweir.bench.report;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Shows results as an HTML file with tables and plots. */
public final class HtmlReport {
    private static final ImmutableList<String> CLASS_HEAD =
            ImmutableList.of(
                    "class",
                    "sent",
                    "completed",
                    "refused",
                    "failed",
                    "in target",
                    "first token p50/p90/p99 ms",
                    "token gap p50/p99/p99.9 ms",
                    "total p50/p99 ms");
    private static final ImmutableList<String> FAULT_HEAD =
            ImmutableList.of(
                    "run",
                    "at ms",
                    "fault",
                    "target",
                    "taken",
                    "affected",
                    "unresumed",
                    "resume p50/p99/max ms");

    private HtmlReport() {}

    /** Writes the page of one load. */
    public static void write(Path file, LoadResult load) {
        HtmlPage page = HtmlPage.titled("Load " + load.mix());
        classes(page, load);
        page.picture("first token", Charts.firstToken(load));
        page.picture("output", Charts.output("load", load));
        save(file, page);
    }

    /** Writes the page of an experiment. */
    public static void write(Path file, ExperimentResult experiment) {
        HtmlPage page = HtmlPage.titled("Experiment, " + experiment.runs().size() + " runs");
        comparison(page, experiment);
        for (Metric metric : Metric.values()) {
            List<MetricSpread> spreads = experiment.of(metric);
            if (spreads.stream().anyMatch(m -> m.spread().max() > 0)) {
                page.picture(metric.name(), Charts.metric(metric, spreads));
            }
        }
        page.picture("output", Charts.output(experiment.runs()));
        faults(page, experiment);
        experiment.runs().forEach(r -> run(page, r));
        save(file, page);
    }

    private static void comparison(HtmlPage page, ExperimentResult experiment) {
        page.paragraph("Median (min..max of runs).");
        page.table(
                ImmutableList.of("figure", "setting", "value"),
                experiment.comparison().stream()
                        .map(m -> row(m.metric(), m.setting(), m.spread()))
                        .toList());
    }

    private static void faults(HtmlPage page, ExperimentResult experiment) {
        ImmutableList.Builder<List<String>> rows = ImmutableList.builder();
        for (int i = 0; i < experiment.runs().size(); i++) {
            RunResult run = experiment.runs().get(i);
            for (FaultResult f : run.faults()) {
                rows.add(
                        row(
                                run.setting() + " " + (i + 1),
                                f.atMs(),
                                f.kind(),
                                f.target(),
                                f.injected(),
                                f.affected(),
                                f.unresumed(),
                                slashed(
                                        f.resume().p50Ms(),
                                        f.resume().p99Ms(),
                                        f.resume().maxMs())));
            }
        }
        page.heading("Faults").table(FAULT_HEAD, rows.build());
    }

    private static void run(HtmlPage page, RunResult run) {
        page.heading("Run of " + run.setting());
        page.paragraph(
                String.format(
                        "Moves %d, false %d; decode %d of which useful %d; prefill %d,"
                                + " repeated at most %d.",
                        run.moves(),
                        run.falseMoves(),
                        run.extra().decodeTokens(),
                        run.extra().usefulDecodeTokens(),
                        run.extra().prefillTokens(),
                        run.extra().repeatedPrefillTokens()));
        classes(page, run.load());
    }

    private static void classes(HtmlPage page, LoadResult load) {
        page.paragraph(load.summaryLine());
        page.table(CLASS_HEAD, load.classes().stream().map(HtmlReport::classRow).toList());
    }

    private static List<String> classRow(ClassResult c) {
        LatencySummary first = c.firstToken();
        LatencySummary gap = c.tokenGap();
        return row(
                c.name(),
                c.sent(),
                c.completed(),
                counts(c.refused()),
                counts(c.failed()),
                c.withinTarget(),
                slashed(first.p50Ms(), first.p90Ms(), first.p99Ms()),
                slashed(gap.p50Ms(), gap.p99Ms(), gap.p999Ms()),
                slashed(c.total().p50Ms(), c.total().p99Ms()));
    }

    private static String counts(List<NamedCount> counts) {
        return counts.isEmpty()
                ? "0"
                : String.join(", ", counts.stream().map(n -> n.name() + " " + n.calls()).toList());
    }

    private static String slashed(Object... values) {
        return String.join("/", row(values));
    }

    private static List<String> row(Object... cells) {
        return ImmutableList.copyOf(cells).stream().map(Object::toString).toList();
    }

    private static void save(Path file, HtmlPage page) {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            Files.writeString(file, page.text());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
