package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;

/** The attempt that runs a generation, and the engine it was sent to. */
public record Placement(AttemptId attempt, EngineId engine) {
    public Placement {
        checkNotNull(attempt, "attempt");
        checkNotNull(engine, "engine");
    }
}
