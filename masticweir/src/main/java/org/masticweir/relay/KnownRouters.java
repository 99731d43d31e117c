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
import org.masticweir.relay.RelayMessages.RouterInfo;

/**
 * The other routers by failure domain, and which of them hear what; owned by the control thread.
 *
 * <p>Load that it answers: words that go from each router to each grow with the square of the
 * fleet, and those between domains take thin links. A word on the store needs every router of the
 * own domain, and of each other domain only the relays, which tell the rest there.
 */
final class KnownRouters {
    /** Relays of a domain: with two of them, one may be lost at any moment. */
    private static final int GATEWAYS_PER_DOMAIN = 2;

    /** Pulses after which each router of another domain has been asked for a sign of life. */
    private static final int REMOTE_POLL_ROUNDS = 5;

    private final RouterInfo self;
    private final Map<RouterId, RouterInfo> routers = new HashMap<>();
    private Optional<Groups> groups = Optional.empty();

    /** Who stands where, as of the routers known. */
    private record Groups(
            ImmutableSet<RouterId> ownDomain,
            ImmutableSet<RouterId> storeRecipients,
            ImmutableList<RouterId> otherRemotes) {}

    KnownRouters(RouterInfo self) {
        this.self = checkNotNull(self, "self");
    }

    /** Takes note of a router; returns whether it or its address is new. */
    boolean add(RouterInfo router) {
        if (router.id().equals(self.id()) || router.equals(routers.get(router.id()))) {
            return false;
        }
        routers.put(router.id(), router);
        groups = Optional.empty();
        return true;
    }

    boolean isInOwnDomain(RouterId router) {
        RouterInfo at = routers.get(router);
        return at != null && at.domain().equals(self.domain());
    }

    /** Returns the other routers of the own domain. */
    ImmutableSet<RouterId> ownDomain() {
        return groups().ownDomain();
    }

    /** Returns those that hear words on the store: the own domain and the relays of the others. */
    ImmutableSet<RouterId> storeRecipients() {
        return groups().storeRecipients();
    }

    /** Returns those that are asked for a sign of life in the pulse that {@code turn} counts. */
    ImmutableSet<RouterId> pollTargets(long round) {
        ImmutableSet.Builder<RouterId> targets = ImmutableSet.builder();
        targets.addAll(storeRecipients());
        ImmutableList<RouterId> remotes = groups().otherRemotes();
        for (int i = (int) (round % REMOTE_POLL_ROUNDS);
                i < remotes.size();
                i += REMOTE_POLL_ROUNDS) {
            targets.add(remotes.get(i));
        }
        return targets.build();
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
        for (RouterInfo router : routers.values()) {
            byDomain.computeIfAbsent(router.domain(), d -> new ArrayList<>()).add(router.id());
        }
        List<RouterId> ownDomain =
                Optional.ofNullable(byDomain.remove(self.domain())).orElse(List.of());
        ImmutableSet.Builder<RouterId> recipients =
                ImmutableSet.<RouterId>builder().addAll(ownDomain);
        byDomain.values()
                .forEach(
                        ids ->
                                recipients.addAll(
                                        Rendezvous.first(
                                                ReadingShare.DUTY, ids, GATEWAYS_PER_DOMAIN)));
        ImmutableSet<RouterId> storeRecipients = recipients.build();
        ImmutableList<RouterId> otherRemotes =
                byDomain.values().stream()
                        .flatMap(List::stream)
                        .filter(id -> !storeRecipients.contains(id))
                        .sorted(Comparator.comparing(RouterId::value))
                        .collect(ImmutableList.toImmutableList());
        return new Groups(ImmutableSet.copyOf(ownDomain), storeRecipients, otherRemotes);
    }
}
