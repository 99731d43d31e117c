package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.masticweir.catalog.ServerLife;

/**
 * What servers have asked of this router in their answers: no more requests, or none for a while;
 * owned by the traffic thread.
 */
public final class ServerNotices {
    /** Longest pause that is kept to, in ms. */
    static final long MAX_PAUSE_MS = 3_600_000;

    /** Leaving servers remembered; the longest known go first. */
    private static final int MAX_LEAVING = 4_096;

    /**
     * Kept also for lives that the list lacks: an entry that lapses while its server leaves may
     * come back as it was.
     */
    private final Set<ServerLife> leaving =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<ServerLife, Boolean> eldest) {
                            return size() > MAX_LEAVING;
                        }
                    });

    private final Map<ServerLife, Long> pausedUntilMs = new HashMap<>();

    private ServerNotices() {}

    public static ServerNotices create() {
        return new ServerNotices();
    }

    /** A server said that it leaves, which holds for the rest of its life; returns whether new. */
    public boolean leaves(ServerLife server) {
        return leaving.add(checkNotNull(server, "server"));
    }

    /**
     * A server asked for no requests for {@code ms}; returns whether its pause begins.
     *
     * <p>Answers overtake each other, so that a shorter pause does not end a longer one.
     */
    public boolean pauses(ServerLife server, long ms, long nowMs) {
        checkArgument(ms >= 0, "pause of %s ms", ms);
        pausedUntilMs.values().removeIf(until -> until <= nowMs);
        boolean begins = ms > 0 && !pausedUntilMs.containsKey(checkNotNull(server, "server"));
        pausedUntilMs.merge(server, nowMs + Math.min(ms, MAX_PAUSE_MS), Math::max);
        return begins;
    }

    /** Returns whether a server has said that it leaves. */
    public boolean isLeaving(ServerLife server) {
        return leaving.contains(server);
    }

    /** Returns for how long a server wants no requests, in ms; 0 if it takes some. */
    public long pausedForMs(ServerLife server, long nowMs) {
        return Math.max(0, pausedUntilMs.getOrDefault(server, nowMs) - nowMs);
    }
}
