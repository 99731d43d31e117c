package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.EngineId;

/** One engine's need of one model's weights; immutable. */
public record WeightLoad(EngineId engine, ModelVersion model) {
    public WeightLoad {
        checkNotNull(engine, "engine");
        checkNotNull(model, "model");
    }
}
