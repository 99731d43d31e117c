package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.ModelId;

/** Model and version, which determine the engines that can serve a request; immutable. */
record ModelKey(ModelId model, String version) {
    ModelKey {
        checkNotNull(model, "model");
        checkNotNull(version, "version");
    }
}
