package org.masticweir.it;

import com.google.common.primitives.ImmutableIntArray;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.masticweir.bench.caller.CallRequest;

/** Makes requests of the tests' deployment, each under a key of its own; thread-safe. */
final class Requests {
    private static final int PROMPT_TOKENS = 32;
    private static final AtomicInteger LAST_KEY = new AtomicInteger();

    private Requests() {}

    /** A long report of team north. */
    static CallRequest report(int tokens) {
        return CallRequest.of("north", "reports", "report", key("report"), prompt(), tokens);
    }

    /** A short lookup of team south. */
    static CallRequest lookup(int tokens) {
        return CallRequest.of("south", "lookups", "report", key("lookup"), prompt(), tokens);
    }

    /** A call of the booking service by team planning. */
    static CallRequest confirmation(boolean idempotent) {
        return new CallRequest(
                "planning",
                "planning-secret",
                "confirmations",
                "booking",
                key("confirmation"),
                idempotent,
                ImmutableIntArray.of(),
                "visit on Monday",
                1);
    }

    private static String key(String what) {
        return what + "-" + LAST_KEY.incrementAndGet();
    }

    private static ImmutableIntArray prompt() {
        return ImmutableIntArray.copyOf(IntStream.rangeClosed(1, PROMPT_TOKENS));
    }
}
