package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Strings;

/** A model in a version that an engine holds, with an adapter or with the empty text for none. */
record LoadedModel(String model, String version, String adapter) {
    LoadedModel {
        checkNotNull(model, "model");
        checkNotNull(version, "version");
        adapter = Strings.nullToEmpty(adapter);
    }

    /** Returns the model that {@code text}, of the form {@code model:version}, names. */
    static LoadedModel parse(String text) {
        int colon = text.indexOf(':');
        checkArgument(colon > 0 && colon < text.length() - 1, "not model:version: %s", text);
        return new LoadedModel(text.substring(0, colon), text.substring(colon + 1), "");
    }

    /** Tells whether a request for {@code wanted} can run on this model. */
    boolean serves(LoadedModel wanted) {
        boolean same = model.equals(wanted.model) && version.equals(wanted.version);
        return same && (wanted.adapter.isEmpty() || wanted.adapter.equals(adapter));
    }
}
