package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;

/**
 * What servers have asked of this router in their answers: no more requests, or none for a while;
 * owned by the traffic thread.
 */
public final class ServerNotices {
    /** Longest pause that is kept to, in ms. */
    static final long MAX_PAUSE_MS = 3_600_000;

    /**
     * How long a server that leaves is remembered while the list lacks it, in ms: its entry may
     * lapse with the store away and come back as it was.
     */
    static final long MAX_ABSENCE_MS = 60_000;

    /** When each leaving server was last listed. */
    private final Map<ServerIncarnation, Long> leavingLastListedMs = new HashMap<>();

    private final Map<ServerIncarnation, Long> pausedUntilMs = new HashMap<>();

    private ServerNotices() {}

    public static ServerNotices create() {
        return new ServerNotices();
    }

    /**
     * A server said that it leaves, which holds for the rest of its incarnation; returns whether
     * new.
     */
    public boolean recordLeaving(ServerIncarnation server, long nowMs) {
        return leavingLastListedMs.put(checkNotNull(server, "server"), nowMs) == null;
    }

    /**
     * A server asked for no requests for {@code ms}; returns whether its pause begins.
     *
     * <p>Answers overtake each other, so that a shorter pause does not end a longer one.
     */
    public boolean recordPause(ServerIncarnation server, long ms, long nowMs) {
        checkArgument(ms >= 0, "pause of %s ms", ms);
        pausedUntilMs.values().removeIf(until -> until <= nowMs);
        boolean isNew = ms > 0 && !pausedUntilMs.containsKey(checkNotNull(server, "server"));
        pausedUntilMs.merge(server, nowMs + Math.min(ms, MAX_PAUSE_MS), Math::max);
        return isNew;
    }

    /** Takes the servers of the list, and forgets those that it has lacked for long. */
    public void updateListed(Set<ServerIncarnation> listed, long nowMs) {
        leavingLastListedMs.replaceAll(
                (server, lastListedMs) -> listed.contains(server) ? nowMs : lastListedMs);
        leavingLastListedMs
                .values()
                .removeIf(lastListedMs -> nowMs - lastListedMs > MAX_ABSENCE_MS);
    }

    /** Returns whether a server has said that it leaves; mostly none has. */
    public boolean isLeaving(ServerIncarnation server) {
        return !leavingLastListedMs.isEmpty() && leavingLastListedMs.containsKey(server);
    }

    /** Returns for how long a server wants no requests, in ms; mostly none pauses, and it is 0. */
    public long remainingPauseMs(ServerIncarnation server, long nowMs) {
        if (pausedUntilMs.isEmpty()) {
            return 0;
        }
        return Math.max(0, pausedUntilMs.getOrDefault(server, nowMs) - nowMs);
    }
}
