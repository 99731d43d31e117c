package org.masticweir.bench.report;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.Function;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws results as PNG pictures, without a display. */
final class Charts {
    private static final int WIDTH_PX = 760;
    private static final int HEIGHT_PX = 360;
    private static final double MS_PER_S = 1000;

    static {
        System.setProperty("java.awt.headless", "true");
    }

    private Charts() {}

    /** Returns the first-token percentiles of each class. */
    static byte[] firstToken(LoadResult load) {
        CategoryChart chart = bars("First token from the intended arrival", "class", "ms");
        List<ClassResult> classes =
                load.classes().stream().filter(c -> c.firstToken().count() > 0).toList();
        if (!classes.isEmpty()) {
            List<String> names = classes.stream().map(ClassResult::name).toList();
            chart.addSeries("p50", names, values(classes, c -> c.firstToken().p50Ms()));
            chart.addSeries("p90", names, values(classes, c -> c.firstToken().p90Ms()));
            chart.addSeries("p99", names, values(classes, c -> c.firstToken().p99Ms()));
        }
        return png(chart);
    }

    /** Returns the output of one load over time. */
    static byte[] output(String name, LoadResult load) {
        XYChart chart = timeChart();
        addOutput(chart, name, load);
        return png(chart);
    }

    /** Returns the output of several runs over time. */
    static byte[] output(List<RunResult> runs) {
        XYChart chart = timeChart();
        for (int i = 0; i < runs.size(); i++) {
            addOutput(chart, runs.get(i).setting() + " run " + (i + 1), runs.get(i).load());
        }
        return png(chart);
    }

    private static XYChart timeChart() {
        return new XYChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title("Tokens that reached callers")
                .xAxisTitle("s from the start")
                .yAxisTitle("tokens an interval")
                .build();
    }

    private static void addOutput(XYChart chart, String name, LoadResult load) {
        List<TimelinePoint> points = load.timeline();
        if (!points.isEmpty()) {
            List<Double> seconds = points.stream().map(p -> p.atMs() / MS_PER_S).toList();
            List<Long> tokens = points.stream().map(TimelinePoint::tokens).toList();
            chart.addSeries(name, seconds, tokens).setMarker(SeriesMarkers.NONE);
        }
    }

    /** Returns one figure of each setting: least, median and greatest. */
    static byte[] metric(Metric metric, List<MetricSpread> spreads) {
        CategoryChart chart = bars(metric.name(), "setting", "");
        List<String> names = spreads.stream().map(MetricSpread::setting).toList();
        chart.addSeries("min", names, values(spreads, m -> m.spread().min()));
        chart.addSeries("median", names, values(spreads, m -> m.spread().median()));
        chart.addSeries("max", names, values(spreads, m -> m.spread().max()));
        return png(chart);
    }

    private static CategoryChart bars(String title, String x, String y) {
        return new CategoryChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
    }

    private static <T> ImmutableList<Number> values(List<T> of, Function<T, Number> value) {
        return of.stream().map(value).collect(ImmutableList.toImmutableList());
    }

    private static byte[] png(Chart<?, ?> chart) {
        try {
            return BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
