package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import java.util.Set;

/** What an engine holds, or should hold: its models and its role; immutable. */
public record EngineHoldings(Set<ModelVersion> models, EngineRole role) {
    public EngineHoldings {
        models = ImmutableSet.copyOf(models);
        checkNotNull(role, "role");
    }

    public static EngineHoldings of(Set<ModelVersion> models, EngineRole role) {
        return new EngineHoldings(models, role);
    }

    /** Returns what an engine's answer to a read back shows. */
    public static EngineHoldings decode(JsonNode root) {
        ImmutableSet.Builder<ModelVersion> models = ImmutableSet.builder();
        for (JsonNode m : root.path("models")) {
            models.add(ModelVersion.decode(m));
        }
        return of(models.build(), EngineRole.ofWireName(root.path("role").asText()));
    }
}
