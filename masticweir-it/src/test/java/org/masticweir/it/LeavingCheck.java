package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.Set;

/** An engine that leaves gets no new work once a few seconds have passed. */
final class LeavingCheck implements PromiseCheck {
    @Override
    public String name() {
        return "leaving";
    }

    @Override
    public ImmutableList<String> violations(FaultRun run) {
        ImmutableList.Builder<String> found = ImmutableList.builder();
        for (FaultRun.Leaving leaving : run.leavings()) {
            Set<StandInRuns.Run> late = Sets.difference(leaving.atEnd(), leaving.afterSeconds());
            if (!late.isEmpty()) {
                found.add(leaving.engine() + " got new work while it left: " + late);
            }
        }
        return found.build();
    }
}
