package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;

/** Key of one rate that all routers share; immutable. */
public record PermitKey(String value) {
    static final int MAX_CHARS = 300;

    public PermitKey {
        checkNotNull(value, "value");
        checkArgument(!value.isEmpty() && value.length() <= MAX_CHARS, "key %s", value);
    }

    /** Returns the key of the limit that a server announces. */
    public static PermitKey ofServer(ServerIncarnation server) {
        return new PermitKey("server/" + server);
    }

    /** Returns the key of the room at a server. */
    public static PermitKey ofRoom(ServerIncarnation server) {
        return new PermitKey("room/" + server);
    }

    /** Returns the key of the retry allowance of a service. */
    public static PermitKey ofRetries(ServiceName service) {
        return new PermitKey("repeats/" + service.value());
    }

    @Override
    public String toString() {
        return value;
    }
}
