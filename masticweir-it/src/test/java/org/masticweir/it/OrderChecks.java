package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** What must hold of the orders and loads that the stand-ins of an {@link OrderBed} recorded. */
final class OrderChecks {
    /** The routers' defaults, which the bed leaves as they are. */
    private static final double LOADS_PER_SECOND = 0.5;

    private static final double BURST = 2;

    /** Two calls sent so far apart at least may be recorded nearer by this, on a busy machine. */
    private static final double JITTER_MS = 100;

    private static final double MS_PER_SECOND = 1_000;

    private final OrderBed bed;

    OrderChecks(OrderBed bed) {
        this.bed = checkNotNull(bed, "bed");
    }

    /** One load that the store admitted, under way until its end. */
    private record Fetch(String engine, String version, long atMs, long endsAtMs) {
        boolean isUnderWay(long ms) {
            return atMs <= ms && ms < endsAtMs;
        }
    }

    /** Fails if an engine that checks fencing accepted a number after a higher one. */
    void oneHolderAtATime() {
        for (BackEndProcess engine : bed.checking()) {
            long highest = 0;
            for (OrderRecord order : bed.orders(engine)) {
                long known = highest;
                boolean old = order.applied() && order.fencing() < known;
                assertTrue(!old, () -> order + " accepted after " + known);
                highest = Math.max(highest, order.fencing());
            }
        }
    }

    /** Fails unless each engine's state was changed once by a load of {@code version}. */
    void loadedOnce(int version, long sinceMs) {
        for (BackEndProcess engine : bed.engines()) {
            List<OrderRecord> effective =
                    bed.orders(engine).stream()
                            .filter(o -> o.atMs() >= sinceMs && o.is("load", version))
                            .filter(OrderRecord::changed)
                            .toList();
            assertEquals(1, effective.size(), () -> engine + " loaded by " + effective);
        }
    }

    /** Fails if the store gave more in any span since {@code sinceMs} than the rate and burst. */
    void keptTheRate(long sinceMs) {
        ImmutableList<Fetch> fetches = fetchesSince(sinceMs);
        for (int first = 0; first < fetches.size(); first++) {
            for (int last = first; last < fetches.size(); last++) {
                double ms = fetches.get(last).atMs() - fetches.get(first).atMs() + JITTER_MS;
                double most = BURST + LOADS_PER_SECOND * ms / MS_PER_SECOND;
                int count = last - first + 1;
                assertTrue(count <= most, () -> count + " fetches over " + most + " in " + fetches);
            }
        }
    }

    /** Fails if the store gave weights to more than one of the four replicas at once. */
    void loadedOneAtATime(long sinceMs) {
        ImmutableList<Fetch> fetches = fetchesSince(sinceMs);
        for (Fetch fetch : fetches) {
            List<Fetch> together =
                    fetches.stream().filter(f -> f.isUnderWay(fetch.atMs())).toList();
            assertEquals(1, together.size(), () -> "at once: " + together);
        }
    }

    /** Returns how many fetches the store gave since {@code sinceMs}. */
    int fetchCount(long sinceMs) {
        return fetchesSince(sinceMs).size();
    }

    private ImmutableList<Fetch> fetchesSince(long sinceMs) {
        ImmutableList.Builder<Fetch> fetches = ImmutableList.builder();
        for (JsonNode node : bed.platformRecords().path("weight_fetches")) {
            fetches.add(
                    new Fetch(
                            node.path("engine").asText(),
                            node.path("version").asText(),
                            node.path("at_ms").asLong(),
                            node.path("ends_at_ms").asLong()));
        }
        return fetches.build().stream().filter(f -> f.atMs() >= sinceMs).collect(toImmutableList());
    }
}
