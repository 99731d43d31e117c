package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.List;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.load.ObservedCall;
import org.masticweir.bench.standin.EngineLedger;
import org.masticweir.bench.standin.EngineRun;

/**
 * A stay of a call's generation on one engine, as its caller could see it.
 *
 * <p>Engines tell no times, so a stay is taken to begin with the last token from the engine before
 * and to end with the first token from the next one.
 *
 * @param fromMs on the caller's clock
 */
record Placement(ObservedCall call, String engine, int first, long fromMs, long untilMs) {
    Placement {
        checkNotNull(call, "call");
        checkNotNull(engine, "engine");
    }

    /** Returns the stays of a call in order, one for each attempt that an engine took. */
    static ImmutableList<Placement> of(ObservedCall call, EngineLedger ledger) {
        CallRecord record = call.record();
        List<EngineRun> runs =
                ledger.runsOf(call.requestId()).stream()
                        .filter(
                                r ->
                                        record.generation() == 0
                                                || r.generation() == record.generation())
                        .toList();
        ImmutableList.Builder<Placement> stays = ImmutableList.builder();
        for (int i = 0; i < runs.size(); i++) {
            EngineRun run = runs.get(i);
            long from = i == 0 ? record.startedAtMs() : tokenAtMs(record, run.first() - 1);
            long until =
                    i + 1 < runs.size()
                            ? tokenAtMs(record, runs.get(i + 1).first())
                            : record.endedAtMs();
            stays.add(new Placement(call, run.engine(), run.first(), from, until));
        }
        return stays.build();
    }

    /** Returns when a token came; the call's start before the first, its end after the last. */
    private static long tokenAtMs(CallRecord record, int index) {
        ImmutableLongArray times = record.tokenAtMs();
        if (index < 0) {
            return record.startedAtMs();
        }
        return index < times.length() ? times.get(index) : record.endedAtMs();
    }
}
