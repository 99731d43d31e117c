package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.base.Strings;
import java.util.List;

/** A model in a version that an engine holds, with an adapter or with the empty text for none. */
record LoadedModel(String model, String version, String adapter) {
    LoadedModel {
        checkNotNull(model, "model");
        checkNotNull(version, "version");
        adapter = Strings.nullToEmpty(adapter);
    }

    /** Returns the model that {@code text} names as {@code model:version[:adapter]}. */
    static LoadedModel parse(String text) {
        List<String> parts = Splitter.on(':').splitToList(text);
        boolean whole = parts.size() >= 2 && parts.size() <= 3 && !parts.contains("");
        checkArgument(whole, "not model:version or model:version:adapter: %s", text);
        return new LoadedModel(parts.get(0), parts.get(1), parts.size() == 3 ? parts.get(2) : "");
    }

    /** Tells whether a request for {@code wanted} can run on this model. */
    boolean serves(LoadedModel wanted) {
        boolean same = model.equals(wanted.model) && version.equals(wanted.version);
        return same && (wanted.adapter.isEmpty() || wanted.adapter.equals(adapter));
    }
}
