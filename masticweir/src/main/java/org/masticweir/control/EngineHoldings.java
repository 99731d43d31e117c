package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.Set;
import org.masticweir.id.ModelId;

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
            models.add(
                    ModelVersion.of(
                            ModelId.of(m.path("model").asText()),
                            m.path("version").asText(),
                            m.path("adapter").asText("")));
        }
        return of(models.build(), EngineRole.ofWireName(root.path("role").asText()));
    }

    /**
     * Returns the first order that brings an engine with these holdings nearer to {@code target}.
     *
     * <p>An engine that leaves is told so first, as that is what must happen within seconds. New
     * models are loaded before old ones are unloaded, so that an engine is never left empty between
     * two versions.
     */
    Optional<Order> firstOrderTowards(EngineHoldings target, long fencing) {
        if (role != target.role) {
            return Optional.of(Order.about(fencing, target.role));
        }
        for (ModelVersion missing : Sets.difference(target.models, models)) {
            return Optional.of(Order.about(fencing, OrderKind.LOAD, missing));
        }
        for (ModelVersion extra : Sets.difference(models, target.models)) {
            return Optional.of(Order.about(fencing, OrderKind.UNLOAD, extra));
        }
        return Optional.empty();
    }
}
