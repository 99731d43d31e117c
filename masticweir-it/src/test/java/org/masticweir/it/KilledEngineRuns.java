package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.util.List;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.standin.StandInControl.RunGeneration;

/**
 * The attempts that the live engines recorded, and those of one engine up to its end.
 *
 * <p>The engine is paused before it is read and killed: a run that ended on it before the kill is
 * recorded nowhere else.
 */
final class KilledEngineRuns implements RunRecords {
    private static final String PAUSE = "{\"pause_ms\":60000}";

    private final TestBed bed;
    private final ImmutableListMultimap<CallRequest, RunGeneration> killed;

    private KilledEngineRuns(
            TestBed bed, ImmutableListMultimap<CallRequest, RunGeneration> killed) {
        this.bed = checkNotNull(bed, "bed");
        this.killed = checkNotNull(killed, "killed");
    }

    /** Kills {@code engine} and returns the records, which have its runs of {@code calls}. */
    static KilledEngineRuns kill(TestBed bed, BackEndProcess engine, List<RunningCall> calls) {
        bed.fault(engine, PAUSE);
        ImmutableListMultimap.Builder<CallRequest, RunGeneration> runs =
                ImmutableListMultimap.builder();
        for (RunningCall call : calls) {
            runs.putAll(call.request(), bed.runsOn(engine, call.request()));
        }
        engine.process().kill();
        return new KilledEngineRuns(bed, runs.build());
    }

    @Override
    public ImmutableList<RunGeneration> runsOf(CallRequest request) {
        return ImmutableList.<RunGeneration>builder()
                .addAll(killed.get(request))
                .addAll(bed.runsOf(request))
                .build();
    }
}
