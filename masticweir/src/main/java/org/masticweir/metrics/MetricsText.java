package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * Writes a registry's counters and histograms in the usual text form, one series a line: counters
 * as they stand, histograms as summaries whose quantiles are those of the last one to two windows.
 *
 * <p>Each metric is read at its own moment. Thread-safe.
 */
public final class MetricsText {
    /** What a reader takes the form from. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final String PREFIX = "masticweir_";
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

    private final MetricRegistry registry;

    private MetricsText(MetricRegistry registry) {
        this.registry = checkNotNull(registry, "registry");
    }

    public static MetricsText of(MetricRegistry registry) {
        return new MetricsText(registry);
    }

    /** Returns the page; reads every histogram, so call it off the I/O threads. */
    public String page() {
        StringBuilder page = new StringBuilder();
        Family family = new Family(page);
        registry.getCounters()
                .forEach(
                        (name, counter) -> {
                            family.begin(name, "counter");
                            line(page, name, "", "", Long.toString(counter.getCount()));
                        });
        registry.getHistograms()
                .forEach(
                        (name, histogram) -> {
                            family.begin(name, "summary");
                            summary(page, name, histogram);
                        });
        return page.toString();
    }

    /** Writes the head of a family before the first of its series; names come sorted. */
    private static final class Family {
        private final StringBuilder page;
        private String last = "";

        Family(StringBuilder page) {
            this.page = page;
        }

        void begin(String name, String type) {
            String family = MetricName.family(name);
            if (!family.equals(last)) {
                last = family;
                page.append("# TYPE ").append(PREFIX).append(family);
                page.append(' ').append(type).append('\n');
            }
        }
    }

    private static void summary(StringBuilder page, String name, Histogram histogram) {
        Snapshot recent = histogram.getSnapshot();
        for (double quantile : QUANTILES) {
            String value = Long.toString(Math.round(recent.getValue(quantile)));
            line(page, name, "", "quantile=\"" + quantile + "\"", value);
        }
        line(page, name, "_count", "", Long.toString(histogram.getCount()));
    }

    private static void line(
            StringBuilder page, String name, String suffix, String label, String value) {
        String labels = MetricName.labels(name);
        String comma = labels.isEmpty() || label.isEmpty() ? "" : ",";
        String all = labels + comma + label;
        page.append(PREFIX).append(MetricName.family(name)).append(suffix);
        page.append(all.isEmpty() ? "" : "{" + all + "}").append(' ').append(value).append('\n');
    }
}
