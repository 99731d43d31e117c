package org.masticweir.cli;

import com.codahale.metrics.UniformSnapshot;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * Requests that ended alike; immutable.
 *
 * @param kind {@code stream} or {@code plain}
 * @param requests how many there were
 * @param p50Ms median time from their arrival to their end; 0 where no log tells the end
 * @param sends sends for each of them, on average
 * @param far part of their first sends that left the router's domain; -1 where that is not known
 * @param running requests at the chosen server before the first send, on average
 * @param reading prompts in reading there, on average
 */
record OutcomeRow(
        String kind,
        String outcome,
        String cause,
        int requests,
        long p50Ms,
        long p90Ms,
        long p99Ms,
        double sends,
        double far,
        double running,
        double reading) {
    private static final double NINE_TENTHS = 0.9;

    static OutcomeRow of(
            String kind, String outcome, String cause, Collection<RequestFlight> flights) {
        List<Long> times = flights.stream().map(RequestFlight::tookMs).toList();
        UniformSnapshot took = new UniformSnapshot(times);
        List<RequestFlight> placed = flights.stream().filter(f -> f.far().isPresent()).toList();
        return new OutcomeRow(
                kind,
                outcome,
                cause,
                flights.size(),
                Math.round(took.getMedian()),
                Math.round(took.getValue(NINE_TENTHS)),
                Math.round(took.get99thPercentile()),
                flights.stream().mapToInt(RequestFlight::sends).average().orElse(0),
                placed.stream().mapToInt(f -> f.far().get() ? 1 : 0).average().orElse(-1),
                flights.stream().mapToInt(RequestFlight::running).average().orElse(0),
                flights.stream().mapToInt(RequestFlight::reading).average().orElse(0));
    }

    static String table(ImmutableList<OutcomeRow> rows) {
        TextTable table =
                TextTable.of(
                        "kind",
                        "outcome",
                        "requests",
                        "p50 ms",
                        "p90 ms",
                        "p99 ms",
                        "sends",
                        "far",
                        "running",
                        "reading",
                        "cause");
        for (OutcomeRow r : rows) {
            table.row(
                    r.kind,
                    r.outcome,
                    r.requests,
                    r.p50Ms,
                    r.p90Ms,
                    r.p99Ms,
                    decimal(r.sends),
                    r.far < 0 ? "" : decimal(r.far),
                    decimal(r.running),
                    decimal(r.reading),
                    r.cause);
        }
        return table.toString();
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
