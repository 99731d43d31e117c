package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * What one run of one setting measured.
 *
 * @param setting name of the set of routers
 * @param resume resume latency over all faults of engines and their links
 * @param moves attempts on another engine than the attempt before
 * @param falseMoves moves off an engine that was alive
 */
public record RunResult(
        String setting,
        LoadResult load,
        List<FaultResult> faults,
        LatencySummary resume,
        ExtraWork extra,
        SendCounts sends,
        long moves,
        long falseMoves) {
    public RunResult {
        checkNotNull(setting, "setting");
        checkNotNull(load, "load");
        faults = ImmutableList.copyOf(faults);
        checkNotNull(resume, "resume");
        checkNotNull(extra, "extra");
        checkNotNull(sends, "sends");
    }
}
