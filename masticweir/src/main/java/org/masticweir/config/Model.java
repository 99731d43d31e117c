package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.generation.PinnedVersion;
import org.masticweir.id.ModelId;

/**
 * A model (or plain service) that requests name.
 *
 * @param version the version that new generations are pinned to
 * @param adapter the adapter that engines load with it; empty for none
 */
public record Model(ModelId id, BackEndKind kind, String version, String adapter) {
    public Model {
        checkNotNull(id, "id");
        checkNotNull(kind, "kind");
        checkNotNull(version, "version");
        checkNotNull(adapter, "adapter");
        checkArgument(!version.isEmpty(), "model %s has no version", id);
    }

    /** Returns what new generations are pinned to. */
    public PinnedVersion pinned() {
        return PinnedVersion.of(version, adapter);
    }
}
