package org.masticweir.limits;

import org.masticweir.id.ModelId;

/** Source of the capacity of engines. Implementations are thread-safe. */
@FunctionalInterface
public interface CapacitySource {
    /** Returns the capacity for {@code version} of {@code model}. */
    Capacity capacityOf(ModelId model, String version, long nowMs);
}
