package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.base.Strings;

/** An order to an engine, under the fencing number of whoever gives it. */
record Order(long fencing, Kind kind, String model, String version, String adapter) {
    /** What an order asks for. */
    enum Kind {
        @JsonProperty("load")
        LOAD,
        @JsonProperty("unload")
        UNLOAD,
        /** Back to serving. */
        @JsonProperty("role")
        ROLE,
        @JsonProperty("leave")
        LEAVE
    }

    Order {
        checkArgument(kind != null, "an order needs a kind");
        model = Strings.nullToEmpty(model);
        version = Strings.nullToEmpty(version);
        adapter = Strings.nullToEmpty(adapter);
        boolean named = !model.isEmpty() && !version.isEmpty();
        boolean needsModel = kind == Kind.LOAD || kind == Kind.UNLOAD;
        checkArgument(named || !needsModel, "%s needs model and version", kind);
    }

    LoadedModel target() {
        return new LoadedModel(model, version, adapter);
    }
}
