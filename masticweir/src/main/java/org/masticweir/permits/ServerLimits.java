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
 * Which servers limit the requests that they take, by their own answers and the words of other
 * routers; owned by the traffic thread.
 */
public final class ServerLimits {
    private final Map<ServerIncarnation, Limit> limits = new HashMap<>();

    /** What is known of one server. */
    private static final class Limit {
        private OptionalDouble perSecond = OptionalDouble.empty();
        private long asOfMs = Long.MIN_VALUE;
        private long blockedUntilMs = Long.MIN_VALUE;
    }

    private ServerLimits() {}

    public static ServerLimits create() {
        return new ServerLimits();
    }

    /**
     * Takes what an answer says; returns whether what is known has changed.
     *
     * <p>Answers overtake each other: one without a limit ends it only if its request left after
     * the limit was last heard of.
     *
     * @param sentMs when the answered request left
     */
    public boolean recordAnswer(
            ServerIncarnation server, AnnouncedLimit announced, long sentMs, long nowMs) {
        Limit known = limits.get(server);
        if (announced.kind() == AnnouncedLimit.Kind.ANNOUNCED) {
            return set(server, OptionalDouble.of(announced.perSecond()), nowMs);
        }
        boolean isLifted =
                announced.kind() == AnnouncedLimit.Kind.NONE
                        && known != null
                        && known.perSecond.isPresent()
                        && sentMs > known.asOfMs;
        return isLifted && set(server, OptionalDouble.empty(), nowMs);
    }

    /** Takes the word of another router unless a newer one is known; returns whether it is news. */
    boolean merge(ServerLimit reported, long nowMs) {
        Limit known = limits.get(reported.server());
        long asOfMs = nowMs - reported.ageMs();
        return (known == null || asOfMs > known.asOfMs)
                && set(reported.server(), reported.perSecond(), asOfMs);
    }

    private boolean set(ServerIncarnation server, OptionalDouble perSecond, long asOfMs) {
        Limit limit = limits.computeIfAbsent(checkNotNull(server, "server"), s -> new Limit());
        boolean changed = !limit.perSecond.equals(perSecond);
        limit.perSecond = perSecond;
        limit.asOfMs = asOfMs;
        return changed;
    }

    /** Returns the requests a second that a server takes of all routers; empty if it named none. */
    public OptionalDouble perSecond(ServerIncarnation server) {
        Limit limit = find(server);
        return limit == null ? OptionalDouble.empty() : limit.perSecond;
    }

    /** Asked for each server before each send; mostly there are no limits at all. */
    private Limit find(ServerIncarnation server) {
        return limits.isEmpty() ? null : limits.get(server);
    }

    public boolean isLimited(ServerIncarnation server) {
        return perSecond(server).isPresent();
    }

    /** Returns how long ago a server's limit was last heard of, in ms. */
    long ageMs(ServerIncarnation server, long nowMs) {
        return nowMs - limits.get(server).asOfMs;
    }

    /** No permit for a server is to be had before {@code untilMs}. */
    public void blockUntil(ServerIncarnation server, long untilMs) {
        Limit limit = limits.get(server);
        if (limit != null) {
            limit.blockedUntilMs = untilMs;
        }
    }

    /** Returns how long no permit for a server is to be had, in ms; 0 if one may be. */
    public long blockedForMs(ServerIncarnation server, long nowMs) {
        Limit limit = find(server);
        boolean isLimited = limit != null && limit.perSecond.isPresent();
        return isLimited && limit.blockedUntilMs > nowMs ? limit.blockedUntilMs - nowMs : 0;
    }

    /** Forgets servers that are gone. */
    void retain(Set<ServerIncarnation> present) {
        limits.keySet().retainAll(present);
    }

    /** Returns how many servers limit what they take. */
    long count() {
        return limits.values().stream().filter(l -> l.perSecond.isPresent()).count();
    }

    /** Returns what a router is told that knows nothing. */
    ImmutableList<ServerLimit> snapshot(long nowMs) {
        return limits.entrySet().stream()
                .map(
                        e ->
                                new ServerLimit(
                                        e.getKey(),
                                        e.getValue().perSecond,
                                        nowMs - e.getValue().asOfMs))
                .collect(ImmutableList.toImmutableList());
    }
}
