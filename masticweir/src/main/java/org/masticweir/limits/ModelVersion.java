package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.ModelId;

/** What decides which engines can serve a request; immutable. */
record ModelVersion(ModelId model, String version) {
    ModelVersion {
        checkNotNull(model, "model");
        checkNotNull(version, "version");
    }
}
