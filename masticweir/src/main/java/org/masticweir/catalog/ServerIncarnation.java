package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.EngineId;

/**
 * One life of a backend server, from a start to its end; immutable.
 *
 * <p>Failure that it answers: a server crashes and starts again under its id. It holds nothing of
 * before, so whatever was believed of its health, load, prompts and copies is wrong from then on.
 * All of that is kept under the life, and so ends with it.
 *
 * @param startedMs Unix time of the start, in ms; {@link #UNKNOWN_START} if the server doesn't say
 */
public record ServerIncarnation(EngineId id, long startedMs) {
    /** Start of a server that doesn't tell when it started. */
    public static final long UNKNOWN_START = 0;

    public ServerIncarnation {
        checkNotNull(id, "id");
        checkArgument(startedMs >= UNKNOWN_START, "started at %s", startedMs);
    }

    public static ServerIncarnation of(EngineId id, long startedMs) {
        return new ServerIncarnation(id, startedMs);
    }

    /** Returns the life of a server that doesn't tell when it started. */
    public static ServerIncarnation ofUnknownStart(EngineId id) {
        return new ServerIncarnation(id, UNKNOWN_START);
    }

    public boolean isStartKnown() {
        return startedMs != UNKNOWN_START;
    }

    /** Returns whether this is an earlier life of the server than {@code other}. */
    public boolean isBefore(ServerIncarnation other) {
        checkArgument(id.equals(other.id), "%s is not %s", other.id, id);
        return isStartKnown() && other.isStartKnown() && startedMs < other.startedMs;
    }

    @Override
    public String toString() {
        return isStartKnown() ? id + "@" + startedMs : id.toString();
    }
}
