package org.masticweir.routing;

import static java.util.Comparator.comparingDouble;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.masticweir.routing.RouteChoice.Chosen;

/**
 * Compares a few engines by expected time to the next token; used within one choice.
 *
 * <p>Failure guarded against: a report grows stale while all routers act on it, and what it showed
 * as emptiest has long been filled by others. The load that others put on an engine is therefore
 * taken to go back to the mean of the engines compared as the report ages, while this router's own
 * attempts, which it knows exactly, count in full at any age.
 */
final class Comparison {
    /** Divides the hold time to give the age at which a report's difference counts 1/e. */
    private static final double TRUST_DIVISOR = 4;

    private final InFlight inFlight;
    private final RouteQuery query;
    private final long nowMs;
    private final List<Entry> entries = new ArrayList<>();

    Comparison(InFlight inFlight, RouteQuery query, long nowMs) {
        this.inFlight = inFlight;
        this.query = query;
        this.nowMs = nowMs;
    }

    /** Adds an engine that costs {@code extraMs} beyond its own delay. */
    void add(EngineView e, double extraMs, boolean preferred) {
        double others = Candidates.share(inFlight.othersLoad(e, nowMs), e);
        entries.add(new Entry(e, extraMs, preferred, others));
    }

    /** Returns the engine with the least expected time, if any was added. */
    Optional<Chosen> best() {
        double mean = entries.stream().mapToDouble(Entry::othersShare).average().orElse(0);
        return entries.stream()
                .map(entry -> evaluate(entry, mean))
                .min(comparingDouble(Chosen::expectedMs));
    }

    private Chosen evaluate(Entry entry, double meanShare) {
        EngineView e = entry.engine;
        double others = meanShare * e.usableCapacity() + difference(entry, meanShare);
        double load = inFlight.outstanding(e.id()) + others;
        double prefillMs = ExpectedDelay.prefillMs(e, query, entry.preferred);
        double expectedMs =
                ExpectedDelay.atLoadMs(e, load)
                        + inFlight.prefillBacklogMs(e.id(), nowMs)
                        + prefillMs
                        + entry.extraMs;
        return new Chosen(e, expectedMs, prefillMs);
    }

    /**
     * Returns how many sequences more than the mean others have on the engine, as far as a report
     * of that age tells.
     *
     * <p>A report is void once arrivals at one engine reach the usual spread of load, about the
     * square root of the capacity. What is left below half a sequence counts as none: all routers
     * would break their ties by it in the same way.
     */
    private double difference(Entry entry, double meanShare) {
        EngineView e = entry.engine;
        int capacity = e.usableCapacity();
        double ageMs = Math.max(0, nowMs - e.reportedAtMs());
        double voidMs = e.speed().holdMs() / (TRUST_DIVISOR * Math.sqrt(capacity));
        double reported = (entry.othersShare - meanShare) * capacity;
        double trusted = Math.rint(reported * Math.exp(-ageMs / Math.max(1, voidMs)));
        double left = entry.othersShare * capacity - drained(e, ageMs);
        return left > capacity ? Math.max(trusted, left - meanShare * capacity) : trusted;
    }

    /**
     * Returns the most that an engine can have ended within {@code ageMs}.
     *
     * <p>Failure guarded against: an engine with a queue of many batches looks like the mean as
     * soon as its report is old, although it can't have worked the queue off by then.
     */
    private static double drained(EngineView e, double ageMs) {
        return e.usableCapacity() * ageMs / Math.max(1, e.speed().holdMs());
    }

    /** One engine compared, with the load that others put on it as a share of its capacity. */
    private record Entry(
            EngineView engine, double extraMs, boolean preferred, double othersShare) {}
}
