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
 * The other routers, grouped by failure domain, and the recipients of each kind of message; owned
 * by the control thread.
 *
 * <p>Reduces load: the number of messages from each router to every other grows with the square of
 * the fleet, and links between domains have limited bandwidth. Notifications of changes in the
 * store go to all routers of the own domain, and to gateways of each other domain, which forward
 * them within it.
 */
final class KnownRouters {
    /**
     * Number of gateways of a domain; with two, the domain still has a gateway after the loss of
     * one.
     */
    private static final int GATEWAYS_PER_DOMAIN = 2;

    /** Rounds in which each remaining router of the other domains is polled once. */
    private static final int REMOTE_POLL_ROUNDS = 5;

    private final RouterInfo self;
    private final Map<RouterId, RouterInfo> routers = new HashMap<>();
    private Optional<Groups> groups = Optional.empty();

    /** Groups of the routers that have been added so far. */
    private record Groups(
            ImmutableSet<RouterId> ownDomain,
            ImmutableSet<RouterId> storeRecipients,
            ImmutableList<RouterId> remoteRouters) {}

    KnownRouters(RouterInfo self) {
        this.self = checkNotNull(self, "self");
    }

    /** Adds a router; returns whether the router or its address is new. */
    boolean add(RouterInfo router) {
        if (router.id().equals(self.id()) || router.equals(routers.get(router.id()))) {
            return false;
        }
        routers.put(router.id(), router);
        groups = Optional.empty();
        return true;
    }

    boolean isInOwnDomain(RouterId router) {
        RouterInfo info = routers.get(router);
        return info != null && info.domain().equals(self.domain());
    }

    /** Returns the other routers of the own domain. */
    ImmutableSet<RouterId> ownDomain() {
        return groups().ownDomain();
    }

    /**
     * Returns the recipients of notifications of changes in the store: the own domain and the
     * gateways of the other domains.
     */
    ImmutableSet<RouterId> storeRecipients() {
        return groups().storeRecipients();
    }

    /** Returns the routers that are polled in round {@code round}. */
    ImmutableSet<RouterId> pollTargets(long round) {
        ImmutableSet.Builder<RouterId> targets = ImmutableSet.builder();
        targets.addAll(storeRecipients());
        ImmutableList<RouterId> remoteRouters = groups().remoteRouters();
        for (int i = (int) (round % REMOTE_POLL_ROUNDS);
                i < remoteRouters.size();
                i += REMOTE_POLL_ROUNDS) {
            targets.add(remoteRouters.get(i));
        }
        return targets.build();
    }

    /** Computes the groups on demand, because at startup the other routers are added one by one. */
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
        ImmutableList<RouterId> remoteRouters =
                byDomain.values().stream()
                        .flatMap(List::stream)
                        .filter(id -> !storeRecipients.contains(id))
                        .sorted(Comparator.comparing(RouterId::value))
                        .collect(ImmutableList.toImmutableList());
        return new Groups(ImmutableSet.copyOf(ownDomain), storeRecipients, remoteRouters);
    }
}
