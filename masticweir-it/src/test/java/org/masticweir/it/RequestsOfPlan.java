package org.masticweir.it;

import com.google.common.primitives.ImmutableIntArray;
import java.util.stream.IntStream;
import org.masticweir.bench.caller.CallRequest;

/** Makes the requests of a plan, each under a key that names seed and number. */
final class RequestsOfPlan {
    private static final int PROMPT_TOKENS = 32;
    private static final ImmutableIntArray PROMPT =
            ImmutableIntArray.copyOf(IntStream.rangeClosed(1, PROMPT_TOKENS));

    private RequestsOfPlan() {}

    static CallRequest of(long seed, int number, FaultPlan.PlannedCall call) {
        String key = "seed" + seed + "-" + number + "-" + call.work();
        return switch (call.work()) {
            case REPORT -> CallRequest.of("north", "reports", "report", key, PROMPT, call.tokens());
            case LOOKUP -> CallRequest.of("south", "lookups", "report", key, PROMPT, call.tokens());
            case LETTER -> once("south", "letters", "report", key, PROMPT, "", call.tokens());
            case SERVICE ->
                    once(
                            "planning",
                            "confirmations",
                            "booking",
                            key,
                            ImmutableIntArray.of(),
                            "visit of " + key,
                            1);
        };
    }

    /** Returns a request that must run at most once. */
    private static CallRequest once(
            String team,
            String workClass,
            String model,
            String key,
            ImmutableIntArray prompt,
            String input,
            int tokens) {
        return new CallRequest(
                team, team + "-secret", workClass, model, key, false, prompt, input, tokens);
    }
}
