package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.primitives.ImmutableIntArray;
import java.util.Optional;

/**
 * A whole answer as a claim's row keeps it: a service's text, or a model's tokens.
 *
 * @param result a service's text; empty for a model
 */
record StoredAnswer(String result, ImmutableIntArray tokens) {
    private static final String TOKENS = "tokens:";
    private static final String RESULT = "result:";

    static String encode(String result, ImmutableIntArray tokens) {
        checkNotNull(result, "result");
        if (tokens.isEmpty()) {
            return RESULT + result;
        }
        return TOKENS + Joiner.on(',').join(tokens.asList());
    }

    /** Returns the answer that a row keeps; empty when it was too long for its row. */
    static Optional<StoredAnswer> decode(String text) {
        if (text.isEmpty()) {
            return Optional.empty();
        }
        if (!text.startsWith(TOKENS)) {
            String result = text.startsWith(RESULT) ? text.substring(RESULT.length()) : text;
            return Optional.of(new StoredAnswer(result, ImmutableIntArray.of()));
        }
        ImmutableIntArray.Builder tokens = ImmutableIntArray.builder();
        for (String token : Splitter.on(',').split(text.substring(TOKENS.length()))) {
            tokens.add(Integer.parseInt(token));
        }
        return Optional.of(new StoredAnswer("", tokens.build()));
    }
}
