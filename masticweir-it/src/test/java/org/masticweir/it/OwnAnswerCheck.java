package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSetMultimap;

/**
 * Each caller gets the answer of its own request.
 *
 * <p>A service's answer names its request; an engine's tokens, which {@link TokensOnceCheck}
 * compares with the seed of the caller's request, do so as no two requests share a seed.
 */
final class OwnAnswerCheck implements PromiseCheck {
    @Override
    public String name() {
        return "own-answer";
    }

    @Override
    public ImmutableList<String> violations(FaultRun run) {
        ImmutableList.Builder<String> found = ImmutableList.builder();
        for (CallTrace trace : run.traces()) {
            if (trace.service()) {
                String own = "done:" + trace.requestId() + ":" + trace.request().input();
                trace.parts().stream()
                        .filter(p -> p.completed() && !p.result().equals(own))
                        .forEach(p -> found.add(trace.violation("got \"" + p.result() + '"')));
            }
        }
        requestsOfSeeds(run)
                .asMap()
                .forEach(
                        (seed, requests) -> {
                            if (requests.size() > 1) {
                                found.add("requests share seed " + seed + ": " + requests);
                            }
                        });
        return found.build();
    }

    private static ImmutableSetMultimap<Long, String> requestsOfSeeds(FaultRun run) {
        ImmutableSetMultimap.Builder<Long, String> requests = ImmutableSetMultimap.builder();
        run.runs().stream()
                .filter(r -> r.generation() != 0)
                .forEach(r -> requests.put(r.seed(), r.request()));
        return requests.build();
    }
}
