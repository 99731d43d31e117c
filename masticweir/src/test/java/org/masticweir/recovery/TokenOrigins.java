package org.masticweir.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticweir.id.GenerationId;

/** Knows after which token each token was computed; no two computations give the same token. */
final class TokenOrigins {
    /** Tokens of a whole answer. */
    static final int ANSWER_TOKENS = 7;

    private static final int NO_TOKEN = 0;

    private final Map<Integer, Origin> origins = new HashMap<>();

    /** Where a token comes from. */
    private record Origin(GenerationId generation, int previous) {}

    int compute(GenerationId generation, List<Integer> before) {
        int token = origins.size() + 1;
        origins.put(token, new Origin(generation, lastOf(before)));
        return token;
    }

    /** Fails unless {@code token} was computed in this generation after exactly these tokens. */
    void checkFollows(GenerationId generation, List<Integer> before, int token) {
        Origin origin = origins.get(token);
        assertEquals(generation, origin.generation(), "token of another generation");
        assertEquals(lastOf(before), origin.previous(), "token computed after another prefix");
    }

    private static int lastOf(List<Integer> tokens) {
        return tokens.isEmpty() ? NO_TOKEN : tokens.get(tokens.size() - 1);
    }
}
