package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.masticweir.id.RouterId;

/**
 * Decides which duties of a group of routers this router carries out.
 *
 * <p>Rendezvous hashing ranks the group's members for each duty. The first of them hold it: they
 * carry it out and tell the others.
 *
 * <p>Failure guarded against: a holder is lost, paused, or cut off from some peers. It shows as
 * silence, before membership says anything or though it never will. Each router counts the silence
 * of those ranked before it and stands in after the time that {@link StandIn} gives its rank, until
 * one of them is heard again; so few substitutes act where one is enough, and a router that hears
 * nobody carries out all.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class SharedDuty<K> {
    private final RouterId self;
    private final Function<K, String> nameOf;
    private final StandIn standIn;
    private final Map<K, Standing> standings = new HashMap<>();
    private ImmutableSet<RouterId> members = ImmutableSet.of();

    private SharedDuty(RouterId self, Function<K, String> nameOf, StandIn standIn) {
        this.self = checkNotNull(self, "self");
        this.nameOf = checkNotNull(nameOf, "nameOf");
        this.standIn = checkNotNull(standIn, "standIn");
    }

    /**
     * Returns the duties of {@code self}.
     *
     * @param nameOf gives a duty's name, by which all routers rank each other alike
     */
    public static <K> SharedDuty<K> of(RouterId self, Function<K, String> nameOf, StandIn standIn) {
        return new SharedDuty<>(self, nameOf, standIn);
    }

    /** Takes the routers that share the duties, this one among them if it does. */
    public void members(Set<RouterId> sharing) {
        if (!members.equals(sharing)) {
            members = ImmutableSet.copyOf(sharing);
            standings.forEach((duty, standing) -> standing.ranks = ranks(duty));
        }
    }

    /** Forgets all duties outside {@code known}. */
    public void retain(Set<K> known) {
        standings.keySet().retainAll(checkNotNull(known, "known"));
    }

    /** Takes note that {@code from} has carried out {@code duty}. */
    public void heard(K duty, RouterId from, long nowMs) {
        Standing standing = standing(duty, nowMs);
        if (members.contains(from) && rankOf(from, standing) < rankOf(self, standing)) {
            standing.heardMs = nowMs;
        }
    }

    /** Tells whether this router carries out {@code duty} now. */
    public boolean isDue(K duty, long nowMs) {
        Standing standing = standing(duty, nowMs);
        long waitMs = standIn.waitMs(rankOf(self, standing));
        return waitMs == 0 || nowMs - standing.heardMs >= waitMs;
    }

    /** Returns how many members come before this router for {@code duty}. */
    public int rank(K duty, long nowMs) {
        return rankOf(self, standing(duty, nowMs));
    }

    private Standing standing(K duty, long nowMs) {
        return standings.computeIfAbsent(
                checkNotNull(duty, "duty"), d -> new Standing(ranks(d), nowMs));
    }

    /** Returns how many members come before {@code router}, which need not be one. */
    private int rankOf(RouterId router, Standing standing) {
        return standing.ranks.getOrDefault(router, members.size());
    }

    private ImmutableMap<RouterId, Integer> ranks(K duty) {
        List<RouterId> ranked = Rendezvous.first(nameOf.apply(duty), members, members.size());
        ImmutableMap.Builder<RouterId, Integer> ranks = ImmutableMap.builder();
        for (int i = 0; i < ranked.size(); i++) {
            ranks.put(ranked.get(i), i);
        }
        return ranks.buildOrThrow();
    }

    /** Where the members stand for one duty, and when one before this router was last heard. */
    private static final class Standing {
        private ImmutableMap<RouterId, Integer> ranks;
        private long heardMs;

        Standing(ImmutableMap<RouterId, Integer> ranks, long heardMs) {
            this.ranks = ranks;
            this.heardMs = heardMs;
        }
    }
}
