package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.primitives.ImmutableIntArray;

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

    static StoredAnswer decode(String text) {
        if (!text.startsWith(TOKENS)) {
            String result = text.startsWith(RESULT) ? text.substring(RESULT.length()) : text;
            return new StoredAnswer(result, ImmutableIntArray.of());
        }
        ImmutableIntArray.Builder tokens = ImmutableIntArray.builder();
        for (String token : Splitter.on(',').split(text.substring(TOKENS.length()))) {
            tokens.add(Integer.parseInt(token));
        }
        return new StoredAnswer("", tokens.build());
    }
}
