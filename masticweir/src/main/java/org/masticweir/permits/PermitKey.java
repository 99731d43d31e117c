package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.FieldText;

/** Key of one rate that all routers share; immutable. */
public record PermitKey(String value) {
    static final int MAX_CHARS = 300;

    private static final String RETRIES = "repeats/";

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

    /**
     * Returns the key of the retry allowance of a service: its name, or a digest if a message
     * between routers cannot carry the name.
     */
    public static PermitKey ofRetries(ServiceName service) {
        String name = service.value();
        boolean fits = RETRIES.length() + name.length() <= MAX_CHARS && FieldText.fits(name);
        return new PermitKey(
                RETRIES + (fits ? name : Hashing.sha256().hashUnencodedChars(name).toString()));
    }

    @Override
    public String toString() {
        return value;
    }
}
