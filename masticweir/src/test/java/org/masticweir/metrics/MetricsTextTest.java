package org.masticweir.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.time.Clock;

/** The page that a metrics reader gets. */
class MetricsTextTest {
    private final MetricRegistry registry = new MetricRegistry();

    private String page() {
        return MetricsText.of(registry).page();
    }

    /** Counters. */
    @Nested
    class Counters {
        @Test
        void ofOneFamilyStandUnderOneHead() {
            registry.counter(MetricName.of("sends_total", "domain", "a", "again", "no")).inc(3);
            registry.counter(MetricName.of("sends_total", "domain", "b", "again", "no")).inc();
            assertEquals(
                    "# TYPE masticweir_sends_total counter\n"
                            + "masticweir_sends_total{domain=\"a\",again=\"no\"} 3\n"
                            + "masticweir_sends_total{domain=\"b\",again=\"no\"} 1\n",
                    page());
        }

        @Test
        void withoutLabelsHaveNoBraces() {
            registry.counter("turns_total").inc();
            assertTrue(page().endsWith("masticweir_turns_total 1\n"), page());
        }
    }

    @Test
    void histogramsAreSummariesWithTheirCount() {
        Histogram answers =
                registry.histogram(
                        MetricName.of("answer_ms", "class", "reports"),
                        () -> new Histogram(WindowedReservoir.of(Clock.system(), 60_000)));
        for (int ms = 1; ms <= 100; ms++) {
            answers.update(ms);
        }
        String page = page();
        assertTrue(page.startsWith("# TYPE masticweir_answer_ms summary\n"), page);
        assertTrue(
                page.contains("masticweir_answer_ms{class=\"reports\",quantile=\"0.5\"} 50\n"),
                page);
        assertTrue(page.endsWith("masticweir_answer_ms_count{class=\"reports\"} 100\n"), page);
    }

    /** Names and labels. */
    @Nested
    class Names {
        /** A route named with a quote made the whole page unreadable. */
        @Test
        void escapeWhatWouldEndALabel() {
            assertEquals("n{class=\"a\\\"b\\\\\"}", MetricName.of("n", "class", "a\"b\\"));
        }

        @Test
        void areWords() {
            assertThrows(IllegalArgumentException.class, () -> MetricName.of("no name"));
            assertThrows(IllegalArgumentException.class, () -> MetricName.of("n", "label"));
        }
    }

    /** Teams come and go, and the metrics grew until the process was killed for its memory. */
    @Test
    void labelsBeyondTheirNumberShareOneValue() {
        BoundedLabels labels = BoundedLabels.of(2);
        assertEquals("a", labels.shownAs("a"));
        assertEquals("b", labels.shownAs("b"));
        assertEquals("other", labels.shownAs("c"));
        assertEquals("a", labels.shownAs("a"));
    }
}
