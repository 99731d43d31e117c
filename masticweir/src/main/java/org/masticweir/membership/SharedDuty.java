package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
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
            standings.forEach((duty, standing) -> standing.rank = rankOf(duty, self));
        }
    }

    /** Forgets all duties outside {@code known}. */
    public void retain(Set<K> known) {
        standings.keySet().retainAll(checkNotNull(known, "known"));
    }

    /** Takes note that {@code from} has carried out {@code duty}. */
    public void heard(K duty, RouterId from, long nowMs) {
        Standing standing = standing(duty, nowMs);
        if (members.contains(from) && rankOf(duty, from) < standing.rank) {
            standing.heardMs = nowMs;
        }
    }

    /** Tells whether this router carries out {@code duty} now. */
    public boolean isDue(K duty, long nowMs) {
        Standing standing = standing(duty, nowMs);
        long waitMs = standIn.waitMs(standing.rank);
        return waitMs == 0 || nowMs - standing.heardMs >= waitMs;
    }

    /** Returns how many members come before this router for {@code duty}. */
    public int rank(K duty, long nowMs) {
        return standing(duty, nowMs).rank;
    }

    private Standing standing(K duty, long nowMs) {
        return standings.computeIfAbsent(
                checkNotNull(duty, "duty"), d -> new Standing(rankOf(d, self), nowMs));
    }

    /** Returns how many members come before {@code router}, which need not be one. */
    private int rankOf(K duty, RouterId router) {
        if (!members.contains(router)) {
            return members.size();
        }
        String name = nameOf.apply(duty);
        long own = Rendezvous.weight(name, router);
        int before = 0;
        for (RouterId member : members) {
            before += Rendezvous.weight(name, member) > own ? 1 : 0;
        }
        return before;
    }

    /** Where this router stands for one duty, and when a router before it was last heard. */
    private static final class Standing {
        private int rank;
        private long heardMs;

        Standing(int rank, long heardMs) {
            this.rank = rank;
            this.heardMs = heardMs;
        }
    }
}
