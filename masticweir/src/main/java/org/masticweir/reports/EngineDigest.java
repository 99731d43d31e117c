package org.masticweir.reports;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.id.EngineId;

/**
 * One engine in a message between routers; immutable.
 *
 * @param reading what was read; empty when the engine did not answer the last time
 */
public record EngineDigest(EngineId engine, Optional<EngineReading> reading) {
    public EngineDigest {
        checkNotNull(engine, "engine");
        checkNotNull(reading, "reading");
    }

    /** Returns the digest of an engine that answered. */
    public static EngineDigest of(EngineId engine, EngineReading reading) {
        return new EngineDigest(engine, Optional.of(reading));
    }

    /** Returns the digest of an engine that did not answer. */
    public static EngineDigest unanswered(EngineId engine) {
        return new EngineDigest(engine, Optional.empty());
    }
}
