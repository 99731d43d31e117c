package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.permits.LimitUpdate.ServerLimit;

/**
 * Rates that servers announce, based on the servers' answers and on updates from other routers;
 * owned by the traffic thread. There is one instance for the requests a second that servers accept,
 * and one for the rejections a second that brittle servers bear.
 */
public final class ServerLimits {
    private final Map<ServerIncarnation, Limit> limits = new HashMap<>();

    /** The state of one server's limit. */
    private static final class Limit {
        private OptionalDouble perSecond = OptionalDouble.empty();
        private long reportedMs = Long.MIN_VALUE;
        private long blockedUntilMs = Long.MIN_VALUE;
    }

    private ServerLimits() {}

    public static ServerLimits create() {
        return new ServerLimits();
    }

    /**
     * Updates the stored limit from an answer of a server; returns whether the limit has changed.
     *
     * <p>Answers may arrive out of order. An answer without a limit therefore lifts the stored
     * limit only if the answered request was sent after the limit was last reported.
     *
     * @param sentMs when the answered request was sent
     */
    public boolean recordAnswer(
            ServerIncarnation server, AnnouncedLimit announcedLimit, long sentMs, long nowMs) {
        Limit knownLimit = limits.get(server);
        if (announcedLimit.kind() == AnnouncedLimit.Kind.ANNOUNCED) {
            return setLimit(server, OptionalDouble.of(announcedLimit.perSecond()), nowMs);
        }
        boolean isLifted =
                announcedLimit.kind() == AnnouncedLimit.Kind.NONE
                        && knownLimit != null
                        && knownLimit.perSecond.isPresent()
                        && sentMs > knownLimit.reportedMs;
        return isLifted && setLimit(server, OptionalDouble.empty(), nowMs);
    }

    /**
     * Updates the stored limit if another router's report is newer; returns whether the limit has
     * changed.
     */
    boolean merge(ServerLimit reported, long nowMs) {
        Limit knownLimit = limits.get(reported.server());
        long asOfMs = nowMs - reported.ageMs();
        return (knownLimit == null || asOfMs > knownLimit.reportedMs)
                && setLimit(reported.server(), reported.perSecond(), asOfMs);
    }

    private boolean setLimit(ServerIncarnation server, OptionalDouble perSecond, long asOfMs) {
        Limit limit = limits.computeIfAbsent(checkNotNull(server, "server"), s -> new Limit());
        boolean changed = !limit.perSecond.equals(perSecond);
        limit.perSecond = perSecond;
        limit.reportedMs = asOfMs;
        return changed;
    }

    /**
     * Returns a server's limit in requests a second from all routers together; empty if the server
     * has no limit.
     */
    public OptionalDouble perSecond(ServerIncarnation server) {
        Limit limit = findLimit(server);
        return limit == null ? OptionalDouble.empty() : limit.perSecond;
    }

    /** Called for each server before each send, so the common case without limits returns early. */
    private Limit findLimit(ServerIncarnation server) {
        return limits.isEmpty() ? null : limits.get(server);
    }

    public boolean isLimited(ServerIncarnation server) {
        return perSecond(server).isPresent();
    }

    /** Returns the time since a server's limit was last reported, in ms. */
    long ageMs(ServerIncarnation server, long nowMs) {
        return nowMs - limits.get(server).reportedMs;
    }

    /** Sets the time before which no permit for a server is available. */
    public void blockUntil(ServerIncarnation server, long untilMs) {
        Limit limit = limits.get(server);
        if (limit != null) {
            limit.blockedUntilMs = untilMs;
        }
    }

    /**
     * Returns the time until a permit for a server may be available, in ms; 0 if the server has no
     * limit or is not blocked.
     */
    public long remainingBlockMs(ServerIncarnation server, long nowMs) {
        Limit limit = findLimit(server);
        boolean isLimited = limit != null && limit.perSecond.isPresent();
        return isLimited && limit.blockedUntilMs > nowMs ? limit.blockedUntilMs - nowMs : 0;
    }

    /** Removes the limits of all servers that are not in {@code listedServers}. */
    void retainServers(Set<ServerIncarnation> listedServers) {
        limits.keySet().retainAll(listedServers);
    }

    /** Returns the number of servers that have a limit. */
    long limitedServerCount() {
        return limits.values().stream().filter(l -> l.perSecond.isPresent()).count();
    }

    /** Returns all limits, for a router that has just been linked. */
    ImmutableList<ServerLimit> snapshot(long nowMs) {
        return limits.entrySet().stream()
                .map(
                        e ->
                                new ServerLimit(
                                        e.getKey(),
                                        e.getValue().perSecond,
                                        nowMs - e.getValue().reportedMs))
                .collect(ImmutableList.toImmutableList());
    }
}
