package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Maps;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/**
 * Reads a registry as one JSON object, with its counters, numeric gauges and histograms by name.
 *
 * <p>Each metric is read at its own moment, so two of them need not agree to the last event.
 * Thread-safe.
 */
public final class MetricsPage {
    private static final Logger LOG = LogManager.getLogger(MetricsPage.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MetricRegistry registry;

    private MetricsPage(MetricRegistry registry) {
        this.registry = checkNotNull(registry, "registry");
    }

    public static MetricsPage of(MetricRegistry registry) {
        return new MetricsPage(registry);
    }

    /** Returns the page; reads every histogram, so call it off the I/O threads. */
    public String json() {
        try {
            return MAPPER.writeValueAsString(read());
        } catch (JsonProcessingException e) {
            throw MasticweirException.causedBy(
                    ErrorCode.INTERNAL, Verdict.NOT_RUN, "the metrics cannot be written", e);
        }
    }

    private Content read() {
        return new Content(
                Maps.transformValues(registry.getCounters(), Counter::getCount),
                gauges(),
                Maps.transformValues(registry.getHistograms(), HistogramView::of));
    }

    private Map<String, Number> gauges() {
        ImmutableSortedMap.Builder<String, Number> values = ImmutableSortedMap.naturalOrder();
        registry.getGauges().forEach((name, gauge) -> put(values, name, gauge));
        return values.build();
    }

    private static void put(
            ImmutableSortedMap.Builder<String, Number> values, String name, Gauge<?> gauge) {
        try {
            if (gauge.getValue() instanceof Number number) {
                values.put(name, number);
            }
        } catch (RuntimeException e) {
            // A gauge runs code of its owner; one that fails must not hide all other metrics.
            LOG.warn("metrics: gauge {} failed", name, e);
        }
    }

    /** The page, each map by metric name. */
    private record Content(
            Map<String, Long> counters,
            Map<String, Number> gauges,
            Map<String, HistogramView> histograms) {
        Content {
            counters = ImmutableSortedMap.copyOf(counters);
            gauges = ImmutableSortedMap.copyOf(gauges);
            histograms = ImmutableSortedMap.copyOf(histograms);
        }
    }
}
