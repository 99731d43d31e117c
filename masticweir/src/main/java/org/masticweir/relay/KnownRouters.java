package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Rendezvous;
import org.masticweir.relay.RelayMessages.RouterAt;

/**
 * The other routers by failure domain, and which of them hear what; owned by the control thread.
 *
 * <p>Load that it answers: words that go from each router to each grow with the square of the
 * fleet, and those between domains take thin links. A word on the store needs every router of the
 * own domain, and of each other domain only the relays, which tell the rest there.
 */
final class KnownRouters {
    /** Relays of a domain: with two of them, one may be lost at any moment. */
    private static final int RELAYS = 2;

    /** Pulses after which each router of another domain has been asked for a sign of life. */
    private static final int FAR_TURNS = 5;

    /** Names the ranking of relays; the readers of a domain are ranked by the same name. */
    private static final String RANKING = "store";

    private final RouterAt self;
    private final Map<RouterId, RouterAt> known = new HashMap<>();
    private final Set<RouterId> home = new HashSet<>();
    private ImmutableSet<RouterId> relays = ImmutableSet.of();
    private ImmutableList<RouterId> otherFar = ImmutableList.of();

    KnownRouters(RouterAt self) {
        this.self = checkNotNull(self, "self");
    }

    /** Takes note of a router; returns whether it or its address is new. */
    boolean learn(RouterAt router) {
        if (router.id().equals(self.id()) || router.equals(known.get(router.id()))) {
            return false;
        }
        known.put(router.id(), router);
        home.clear();
        Map<DomainId, List<RouterId>> far = new HashMap<>();
        for (RouterAt other : known.values()) {
            if (other.domain().equals(self.domain())) {
                home.add(other.id());
            } else {
                far.computeIfAbsent(other.domain(), d -> new ArrayList<>()).add(other.id());
            }
        }
        rank(far);
        return true;
    }

    private void rank(Map<DomainId, List<RouterId>> far) {
        ImmutableSet.Builder<RouterId> first = ImmutableSet.builder();
        far.values().forEach(ids -> first.addAll(Rendezvous.first(RANKING, ids, RELAYS)));
        relays = first.build();
        otherFar =
                far.values().stream()
                        .flatMap(List::stream)
                        .filter(id -> !relays.contains(id))
                        .sorted(Comparator.comparing(RouterId::value))
                        .collect(ImmutableList.toImmutableList());
    }

    boolean isHome(RouterId router) {
        return home.contains(router);
    }

    /** Returns the other routers of the own domain. */
    ImmutableSet<RouterId> home() {
        return ImmutableSet.copyOf(home);
    }

    /** Returns those that hear words on the store: the own domain and the relays of the others. */
    ImmutableSet<RouterId> told() {
        return ImmutableSet.<RouterId>builder().addAll(home).addAll(relays).build();
    }

    /** Returns those that are asked for a sign of life in the pulse that {@code turn} counts. */
    ImmutableSet<RouterId> asked(long turn) {
        ImmutableSet.Builder<RouterId> asked = ImmutableSet.builder();
        asked.addAll(told());
        for (int i = (int) (turn % FAR_TURNS); i < otherFar.size(); i += FAR_TURNS) {
            asked.add(otherFar.get(i));
        }
        return asked.build();
    }
}
