package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;

/** A key that is not idempotent runs at most once over all back ends, also some time later. */
final class AtMostOnceCheck implements PromiseCheck {
    @Override
    public String name() {
        return "at-most-once";
    }

    @Override
    public ImmutableList<String> violations(FaultRun run) {
        ImmutableListMultimap<String, StandInRuns.Run> runs =
                Multimaps.index(run.runsLater(), StandInRuns.Run::request);
        return run.traces().stream()
                .filter(t -> !t.request().idempotent())
                .filter(t -> runs.get(t.requestId()).size() > 1)
                .map(t -> t.violation("ran more than once: " + runs.get(t.requestId())))
                .collect(ImmutableList.toImmutableList());
    }
}
