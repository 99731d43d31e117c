package org.masticweir.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Names one placement of a generation on an engine; a higher number supersedes a lower one. */
public record AttemptId(GenerationId generation, int number) {
    public AttemptId {
        checkNotNull(generation, "generation");
        checkArgument(number >= 1, "attempt number %s below 1", number);
    }

    public static AttemptId of(GenerationId generation, int number) {
        return new AttemptId(generation, number);
    }

    /** Returns the attempt that supersedes this one. */
    public AttemptId next() {
        return new AttemptId(generation, number + 1);
    }

    @Override
    public String toString() {
        return generation + "/" + number;
    }
}
