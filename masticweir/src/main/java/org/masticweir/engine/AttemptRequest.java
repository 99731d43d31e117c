package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.AttemptId;

/**
 * One attempt as it is sent to an engine.
 *
 * @param prefix tokens already accepted, which the engine goes on after
 * @param priority lower goes first in the engine's queue
 */
public record AttemptRequest(
        AttemptId attempt,
        RequestSpec request,
        GenerationSpec generation,
        ImmutableIntArray prefix,
        int priority) {
    public AttemptRequest {
        checkNotNull(attempt, "attempt");
        checkNotNull(request, "request");
        checkNotNull(generation, "generation");
        checkNotNull(prefix, "prefix");
    }
}
