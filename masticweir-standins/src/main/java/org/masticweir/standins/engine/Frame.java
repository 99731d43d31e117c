package org.masticweir.standins.engine;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.google.common.collect.ImmutableList;

/** One line of a stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Frame.Start.class, name = "start"),
    @JsonSubTypes.Type(value = Frame.Tokens.class, name = "tokens"),
    @JsonSubTypes.Type(value = Frame.End.class, name = "end")
})
sealed interface Frame {
    /** Opens a stream at index {@code first}. */
    record Start(String request, int generation, int attempt, int first) implements Frame {}

    /** Carries consecutive tokens from {@code index} on. */
    record Tokens(
            String request, int generation, int attempt, int index, ImmutableList<Integer> tokens)
            implements Frame {}

    /** Closes a whole stream of {@code index} tokens, prefix included. */
    record End(String request, int generation, int attempt, int index) implements Frame {}
}
