package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticweir.feed.ReadingShare;
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

    private final RouterAt self;
    private final Map<RouterId, RouterAt> known = new HashMap<>();
    private Optional<Groups> groups = Optional.empty();

    /** Who stands where, as of the routers known. */
    private record Groups(
            ImmutableSet<RouterId> home,
            ImmutableSet<RouterId> told,
            ImmutableList<RouterId> otherFar) {}

    KnownRouters(RouterAt self) {
        this.self = checkNotNull(self, "self");
    }

    /** Takes note of a router; returns whether it or its address is new. */
    boolean learn(RouterAt router) {
        if (router.id().equals(self.id()) || router.equals(known.get(router.id()))) {
            return false;
        }
        known.put(router.id(), router);
        groups = Optional.empty();
        return true;
    }

    boolean isHome(RouterId router) {
        RouterAt at = known.get(router);
        return at != null && at.domain().equals(self.domain());
    }

    /** Returns the other routers of the own domain. */
    ImmutableSet<RouterId> home() {
        return groups().home();
    }

    /** Returns those that hear words on the store: the own domain and the relays of the others. */
    ImmutableSet<RouterId> told() {
        return groups().told();
    }

    /** Returns those that are asked for a sign of life in the pulse that {@code turn} counts. */
    ImmutableSet<RouterId> asked(long turn) {
        ImmutableSet.Builder<RouterId> asked = ImmutableSet.builder();
        asked.addAll(told());
        ImmutableList<RouterId> far = groups().otherFar();
        for (int i = (int) (turn % FAR_TURNS); i < far.size(); i += FAR_TURNS) {
            asked.add(far.get(i));
        }
        return asked.build();
    }

    /** Grouped when they are asked for: a start learns of the whole fleet, one by one. */
    private Groups groups() {
        if (groups.isEmpty()) {
            groups = Optional.of(group());
        }
        return groups.get();
    }

    private Groups group() {
        Map<DomainId, List<RouterId>> byDomain = new HashMap<>();
        for (RouterAt router : known.values()) {
            byDomain.computeIfAbsent(router.domain(), d -> new ArrayList<>()).add(router.id());
        }
        List<RouterId> home = Optional.ofNullable(byDomain.remove(self.domain())).orElse(List.of());
        ImmutableSet.Builder<RouterId> told = ImmutableSet.<RouterId>builder().addAll(home);
        byDomain.values()
                .forEach(ids -> told.addAll(Rendezvous.first(ReadingShare.DUTY, ids, RELAYS)));
        ImmutableSet<RouterId> allTold = told.build();
        ImmutableList<RouterId> otherFar =
                byDomain.values().stream()
                        .flatMap(List::stream)
                        .filter(id -> !allTold.contains(id))
                        .sorted(Comparator.comparing(RouterId::value))
                        .collect(ImmutableList.toImmutableList());
        return new Groups(ImmutableSet.copyOf(home), allTold, otherFar);
    }
}
