package org.masticweir.callers;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.Optional;

/**
 * What a caller says of its submission; the body, which names the request, is the same each time.
 */
enum SubmissionHeader {
    /**
     * The key was submitted nowhere before, and the caller neither submits nor reads it elsewhere
     * before it has this answer.
     */
    FIRST,
    /** Nothing is said: other submissions of the key may be anywhere. */
    UNSAID;

    private static final HttpString NAME = new HttpString("Masticweir-Submission");
    private static final String FIRST_VALUE = "first";

    /** Returns what {@code exchange} says; any other value than {@code first} says nothing. */
    static SubmissionHeader of(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(NAME))
                .filter(FIRST_VALUE::equals)
                .map(value -> FIRST)
                .orElse(UNSAID);
    }
}
