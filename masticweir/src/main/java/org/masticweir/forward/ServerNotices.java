package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;

/** Leaving and pause notices from the answers of servers; owned by the traffic thread. */
public final class ServerNotices {
    /** Longest accepted pause, in ms. */
    static final long MAX_PAUSE_MS = 3_600_000;

    /**
     * How long an unlisted leaving server is remembered, in ms. The server's entry may expire while
     * the store is unavailable, and reappear unchanged afterwards.
     */
    static final long MAX_ABSENCE_MS = 60_000;

    /** Time at which each leaving server was last listed. */
    private final Map<ServerIncarnation, Long> leavingLastListedMs = new HashMap<>();

    private final Map<ServerIncarnation, Long> pausedUntilMs = new HashMap<>();

    private ServerNotices() {}

    public static ServerNotices create() {
        return new ServerNotices();
    }

    /**
     * Records that an incarnation of a server is leaving; returns whether the notice is new. A
     * leaving incarnation never returns to service.
     */
    public boolean recordLeaving(ServerIncarnation server, long nowMs) {
        return leavingLastListedMs.put(checkNotNull(server, "server"), nowMs) == null;
    }

    /**
     * Records that a server pauses for {@code ms}; returns whether a new pause starts.
     *
     * <p>Answers may arrive out of order, so a shorter pause does not shorten a recorded pause.
     */
    public boolean recordPause(ServerIncarnation server, long ms, long nowMs) {
        checkArgument(ms >= 0, "pause of %s ms", ms);
        pausedUntilMs.values().removeIf(until -> until <= nowMs);
        boolean isNew = ms > 0 && !pausedUntilMs.containsKey(checkNotNull(server, "server"));
        pausedUntilMs.merge(server, nowMs + Math.min(ms, MAX_PAUSE_MS), Math::max);
        return isNew;
    }

    /**
     * Updates the listed servers, and removes leaving servers that were unlisted for more than
     * {@link #MAX_ABSENCE_MS}.
     */
    public void updateListedServers(Set<ServerIncarnation> listed, long nowMs) {
        leavingLastListedMs.replaceAll(
                (server, lastListedMs) -> listed.contains(server) ? nowMs : lastListedMs);
        leavingLastListedMs
                .values()
                .removeIf(lastListedMs -> nowMs - lastListedMs > MAX_ABSENCE_MS);
    }

    /** Returns whether a server has announced that it is leaving. */
    public boolean isLeaving(ServerIncarnation server) {
        return !leavingLastListedMs.isEmpty() && leavingLastListedMs.containsKey(server);
    }

    /** Returns the remaining pause of a server, in ms; 0 if the server does not pause. */
    public long remainingPauseMs(ServerIncarnation server, long nowMs) {
        if (pausedUntilMs.isEmpty()) {
            return 0;
        }
        return Math.max(0, pausedUntilMs.getOrDefault(server, nowMs) - nowMs);
    }
}
