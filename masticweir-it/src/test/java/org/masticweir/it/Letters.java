package org.masticweir.it;

import com.google.common.primitives.ImmutableIntArray;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.masticweir.bench.caller.CallRequest;

/** Makes letters, whose class keeps only their placement on a peer; thread-safe. */
final class Letters {
    private static final int PROMPT_TOKENS = 32;
    private static final AtomicInteger LAST_KEY = new AtomicInteger();

    private Letters() {}

    /** A letter that may be written again. */
    static CallRequest draft(int tokens) {
        return letter("draft", true, tokens);
    }

    /** A letter that must be written at most once. */
    static CallRequest followUp(int tokens) {
        return letter("follow-up", false, tokens);
    }

    private static CallRequest letter(String what, boolean idempotent, int tokens) {
        return new CallRequest(
                "south",
                "south-secret",
                "letters",
                "report",
                what + "-" + LAST_KEY.incrementAndGet(),
                idempotent,
                ImmutableIntArray.copyOf(IntStream.rangeClosed(1, PROMPT_TOKENS)),
                "",
                tokens);
    }
}
