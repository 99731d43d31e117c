package org.masticweir.callers;

import com.google.common.primitives.Ints;
import java.util.Optional;

/**
 * The id of a server-sent event: a generation and a token index, as {@code generation:index}.
 *
 * @param index index of the token that the event carries
 */
record EventId(int generation, int index) {
    /** Reads an id as callers send it back; empty when it is none. */
    static Optional<EventId> parse(String text) {
        int colon = text.indexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        Integer generation = Ints.tryParse(text.substring(0, colon));
        Integer index = Ints.tryParse(text.substring(colon + 1));
        if (generation == null || index == null || generation < 1 || index < 0) {
            return Optional.empty();
        }
        return Optional.of(new EventId(generation, index));
    }
}
