package org.masticweir.error;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.primitives.Longs;

/** Reads how long a peer that refuses wants no request; stateless. */
public final class RetryAdvice {
    /** Longest accepted advice, in ms; sums with it do not overflow. */
    static final long MAX_MS = 3_600_000;

    private RetryAdvice() {}

    /** Returns the advice in the body of a refusal, in ms; 0 if there is none. */
    public static long ms(JsonNode refusal) {
        return Longs.constrainToRange(refusal.path("retry_after_ms").asLong(), 0, MAX_MS);
    }
}
