package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.masticweir.standins.engine.TokenSource;

/**
 * Each token comes once, in order, none is missing, and an answer is of one generation.
 *
 * <p>A token follows from its generation's seed, which the engines recorded, and its index. The
 * answer that a claim's row keeps comes whole under a number of its own; it must be of the only run
 * of its request.
 */
final class TokensOnceCheck implements PromiseCheck {
    @Override
    public String name() {
        return "tokens-once";
    }

    @Override
    public ImmutableList<String> violations(FaultRun run) {
        ImmutableList.Builder<String> found = ImmutableList.builder();
        for (CallTrace trace : run.traces()) {
            if (!trace.service()) {
                for (int i = 0; i < trace.parts().size(); i++) {
                    violation(run, trace, i).map(trace::violation).ifPresent(found::add);
                }
            }
        }
        return found.build();
    }

    private static Optional<String> violation(FaultRun run, CallTrace trace, int number) {
        CallPart part = trace.parts().get(number);
        if (part.disorders() > 0) {
            return Optional.of(part.disorders() + " events out of order in " + part);
        }
        int wanted = trace.request().maxTokens();
        if (part.completed() && part.from() + part.tokens().length() != wanted) {
            return Optional.of("said to be whole with other than " + wanted + " tokens: " + part);
        }
        if (part.tokens().isEmpty()) {
            return Optional.empty();
        }
        if (part.from() > 0 && !continues(trace, number)) {
            return Optional.of("went on with another generation: " + part);
        }
        return wrongToken(run, trace, part);
    }

    /** Tells whether an earlier part has the token before the first one of a part. */
    private static boolean continues(CallTrace trace, int number) {
        CallPart part = trace.parts().get(number);
        return trace.parts().subList(0, number).stream()
                .anyMatch(
                        p ->
                                p.generation() == part.generation()
                                        && p.from() + p.tokens().length() >= part.from());
    }

    private static Optional<String> wrongToken(FaultRun run, CallTrace trace, CallPart part) {
        ImmutableSet<Long> seeds = seedsOf(run, trace, part);
        if (seeds.size() != 1) {
            return Optional.of(
                    "engines ran the generation under seeds "
                            + seeds
                            + ", the request as "
                            + runsOf(run, trace));
        }
        long seed = seeds.iterator().next();
        for (int i = 0; i < part.tokens().length(); i++) {
            if (part.tokens().get(i) != TokenSource.token(seed, part.from() + i)) {
                return Optional.of("wrong token " + (part.from() + i) + " in " + part);
            }
        }
        return Optional.empty();
    }

    private static ImmutableSet<Long> seedsOf(FaultRun run, CallTrace trace, CallPart part) {
        ImmutableList<StandInRuns.Run> runs = runsOf(run, trace);
        boolean ran = runs.stream().anyMatch(r -> is(r, part));
        boolean claimed = !trace.request().idempotent();
        boolean kept = claimed && !ran && part.completed() && part.from() == 0;
        return runs.stream()
                .filter(r -> kept || is(r, part))
                .map(StandInRuns.Run::seed)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static boolean is(StandInRuns.Run run, CallPart part) {
        return run.generation() == part.generation();
    }

    private static ImmutableList<StandInRuns.Run> runsOf(FaultRun run, CallTrace trace) {
        return run.runs().stream()
                .filter(r -> r.request().equals(trace.requestId()))
                .collect(ImmutableList.toImmutableList());
    }
}
