package org.masticweir.bench.report;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What the runs of an experiment measured.
 *
 * @param runs in the order in which they ran
 * @param comparison each figure of each setting
 */
public record ExperimentResult(List<RunResult> runs, List<MetricSpread> comparison) {
    public ExperimentResult {
        runs = ImmutableList.copyOf(runs);
        comparison = ImmutableList.copyOf(comparison);
    }

    /** Compares the settings of {@code runs}. */
    public static ExperimentResult of(List<RunResult> runs) {
        ImmutableList.Builder<MetricSpread> comparison = ImmutableList.builder();
        for (Metric metric : Metric.values()) {
            for (String setting : settings(runs)) {
                List<Double> values =
                        runs.stream()
                                .filter(r -> r.setting().equals(setting))
                                .filter(metric::appliesTo)
                                .map(metric::of)
                                .toList();
                if (!values.isEmpty()) {
                    comparison.add(new MetricSpread(metric, setting, Spread.of(values)));
                }
            }
        }
        return new ExperimentResult(runs, comparison.build());
    }

    private static List<String> settings(List<RunResult> runs) {
        return runs.stream().map(RunResult::setting).distinct().toList();
    }

    /** Returns the names of the settings, in the order of their first runs. */
    List<String> settings() {
        return settings(runs);
    }

    /** Returns one figure of every setting. */
    List<MetricSpread> of(Metric metric) {
        return comparison.stream().filter(m -> m.metric() == metric).toList();
    }

    /** Returns one line that tells each figure as median (min..max) of each setting. */
    public String summaryLine() {
        return "experiment: "
                + runs.size()
                + " runs, median (min..max of runs); "
                + List.of(Metric.values()).stream()
                        .filter(m -> !of(m).isEmpty())
                        .map(this::summary)
                        .collect(Collectors.joining("; "));
    }

    /** Returns lines that compare each class and each team. */
    public List<String> groupLines() {
        return GroupLines.of(runs).all();
    }

    private String summary(Metric metric) {
        return Ascii.toLowerCase(metric.name())
                + " "
                + of(metric).stream()
                        .map(m -> m.setting() + " " + m.spread())
                        .collect(Collectors.joining(", "));
    }
}
