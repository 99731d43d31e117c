package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * What the callers of one class saw; latencies count from the intended arrival.
 *
 * @param refused calls that were not run, by error code
 * @param failed calls whose stream ended without the whole answer, by verdict
 * @param withinTarget calls completed within the class's targets
 * @param goodputPerS those calls for each second of the load
 */
public record ClassResult(
        String name,
        long sent,
        long completed,
        List<NamedCount> refused,
        List<NamedCount> failed,
        long withinTarget,
        double goodputPerS,
        LatencySummary firstToken,
        LatencySummary tokenGap,
        LatencySummary total) {
    public ClassResult {
        checkNotNull(name, "name");
        refused = ImmutableList.copyOf(refused);
        failed = ImmutableList.copyOf(failed);
        checkNotNull(firstToken, "firstToken");
        checkNotNull(tokenGap, "tokenGap");
        checkNotNull(total, "total");
    }

    /** Returns how many calls were refused. */
    public long refusedCalls() {
        return sum(refused);
    }

    /** Returns how many calls failed. */
    public long failedCalls() {
        return sum(failed);
    }

    private static long sum(List<NamedCount> counts) {
        return counts.stream().mapToLong(NamedCount::calls).sum();
    }
}
