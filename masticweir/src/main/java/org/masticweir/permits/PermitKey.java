package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;

/** Names one rate that all routers share; immutable. */
public record PermitKey(String value) {
    static final int MAX_CHARS = 300;

    public PermitKey {
        checkNotNull(value, "value");
        checkArgument(!value.isEmpty() && value.length() <= MAX_CHARS, "key %s", value);
    }

    /** Returns the key of the limit that a server names. */
    public static PermitKey ofServer(ServerIncarnation server) {
        return new PermitKey("server/" + server);
    }

    /** Returns the key of the repeats for a service beyond the routers' own shares. */
    public static PermitKey ofRepeats(ServiceName service) {
        return new PermitKey("repeats/" + service.value());
    }

    @Override
    public String toString() {
        return value;
    }
}
