package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.masticweir.bench.caller.CallRecord;

/**
 * Every request ends whole or with one clear final error within a bound, and no connection hangs.
 */
final class EndingCheck implements PromiseCheck {
    /** The errors that faults may cause; any other one is a fault of the router or the caller. */
    private static final ImmutableSet<String> CLEAR =
            ImmutableSet.of(
                    "NOT_FOUND",
                    "DUPLICATE",
                    "SUPERSEDED",
                    "OVER_LIMIT",
                    "OVERLOADED",
                    "ENGINE_LOST",
                    "NO_ENGINE",
                    "NO_CONFIGURATION",
                    "SHUTTING_DOWN",
                    "PLATFORM_UNAVAILABLE",
                    "DEADLINE_EXCEEDED");

    private static final ImmutableSet<String> VERDICTS = ImmutableSet.of("NOT_RUN", "MAY_HAVE_RUN");

    @Override
    public String name() {
        return "ending";
    }

    @Override
    public ImmutableList<String> violations(FaultRun run) {
        ImmutableList.Builder<String> found = ImmutableList.builder();
        for (CallTrace trace : run.traces()) {
            if (!trace.ended() || trace.endedAtMs() - trace.startedAtMs() > FaultCaller.BOUND_MS) {
                found.add(trace.violation("no last word in time"));
            }
            if (!trace.unended().isEmpty()) {
                found.add(trace.violation("connections hang: " + trace.unended()));
            }
            trace.parts().stream()
                    .flatMap(p -> unclear(p).stream())
                    .forEach(v -> found.add(trace.violation(v)));
        }
        return found.build();
    }

    private static Optional<String> unclear(CallPart part) {
        if (part.completed() && !(part.code().isEmpty() && part.verdict().equals("COMPLETED"))) {
            return Optional.of("whole and with an error: " + part);
        }
        boolean error = part.outcome() == CallRecord.Outcome.ERROR;
        if (error && !(CLEAR.contains(part.code()) && VERDICTS.contains(part.verdict()))) {
            return Optional.of("unclear error: " + part);
        }
        return Optional.empty();
    }
}
