package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticweir.config.Model;
import org.masticweir.id.ModelId;

/**
 * A model as an engine loads it; immutable.
 *
 * @param adapter adapter loaded with it; empty for none
 */
public record ModelVersion(ModelId model, String version, String adapter) {
    public ModelVersion {
        checkNotNull(model, "model");
        checkArgument(!version.isEmpty(), "model %s has no version", model);
        checkNotNull(adapter, "adapter");
    }

    public static ModelVersion of(ModelId model, String version, String adapter) {
        return new ModelVersion(model, version, adapter);
    }

    /** Returns the version that a model entry on the wire names. */
    static ModelVersion decode(JsonNode entry) {
        return of(
                ModelId.of(entry.path("model").asText()),
                entry.path("version").asText(),
                entry.path("adapter").asText(""));
    }

    /** Returns the version that the deployment declares. */
    static ModelVersion declaredBy(Model model) {
        return of(model.id(), model.version(), model.adapter());
    }
}
