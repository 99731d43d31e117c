package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import org.masticweir.it.FaultRun.Drained;

/** A router that is told to leave cuts off nothing that it had taken, and ends by itself. */
final class DrainCheck implements PromiseCheck {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public ImmutableList<String> violations(FaultRun run) {
        ImmutableList.Builder<String> found = ImmutableList.builder();
        for (Drained drained : run.drained()) {
            if (!drained.left().isEmpty()) {
                found.add("does not end: " + drained);
            }
            for (CallTrace trace : run.traces()) {
                trace.parts().stream()
                        .filter(p -> cutOff(p, drained))
                        .forEach(p -> found.add(trace.violation("cut off by " + drained)));
            }
        }
        return found.build();
    }

    /** Tells whether a call that was under way or taken at the router lost its connection there. */
    private static boolean cutOff(CallPart part, Drained drained) {
        boolean there =
                part.router().equals(drained.router())
                        && part.startedAtMs() <= drained.toMs()
                        && part.endedAtMs() >= drained.fromMs();
        boolean taken = part.status() == 200 || part.startedAtMs() <= drained.fromMs();
        boolean refused =
                part.code().equals("SHUTTING_DOWN") && part.startedAtMs() <= drained.fromMs();
        return there && taken && (part.broken() || refused);
    }
}
