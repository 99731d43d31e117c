package org.masticweir.path;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/**
 * Routers that offer tunnels, and the choice among them; owned by the traffic thread.
 *
 * <p>Routers of the own failure domain come first, as bytes between domains are slow and expensive.
 * Of two random candidates, the one with fewer tunnels of this router is chosen, so that the
 * routers that lost their paths together don't all use the same peer.
 */
final class TunnelPeers {
    /** Tunnels of this router at one peer from which on other peers are preferred. */
    static final int MAX_TUNNELS_PER_PEER = 48;

    /** How long other peers are preferred after one failed to open a tunnel, in ms. */
    static final long FAILED_MS = 1_000;

    private final DomainId ownDomain;
    private final RandomGenerator random;
    private final Map<RouterId, Peer> peers = new HashMap<>();

    /** A linked router and its latest offer. */
    private static final class Peer {
        private TunnelOffer offer;
        private int tunnelCount;
        private long failedUntilMs = Long.MIN_VALUE;
    }

    TunnelPeers(DomainId ownDomain, RandomGenerator random) {
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
        this.random = checkNotNull(random, "random");
    }

    /** Records an offer, which replaces the previous offer of the same router. */
    void recordOffer(RouterId router, TunnelOffer offer) {
        Peer peer = peers.computeIfAbsent(router, r -> new Peer());
        peer.offer = checkNotNull(offer, "offer");
        peer.failedUntilMs = Long.MIN_VALUE;
    }

    /** Removes a router whose link is down. */
    void remove(RouterId router) {
        peers.remove(router);
    }

    boolean isEmpty() {
        return peers.isEmpty();
    }

    /** Returns whether some router can be chosen. */
    boolean isAnyOpen(long nowMs) {
        return peers.values().stream().anyMatch(p -> isUsable(p, nowMs));
    }

    Optional<TunnelOffer> offer(RouterId router) {
        return Optional.ofNullable(peers.get(router)).map(p -> p.offer);
    }

    /**
     * Returns the router that should carry the next tunnel; empty if there is none. A router that
     * has just failed is the last choice: one late reply must not cost the only carrier.
     */
    Optional<RouterId> select(Set<RouterId> excluded, long nowMs) {
        return select(excluded, p -> isUsable(p, nowMs))
                .or(() -> select(excluded, p -> p.offer.isOpen()));
    }

    private Optional<RouterId> select(Set<RouterId> excluded, Predicate<Peer> condition) {
        List<RouterId> near = new ArrayList<>();
        List<RouterId> far = new ArrayList<>();
        for (Map.Entry<RouterId, Peer> entry : peers.entrySet()) {
            Peer peer = entry.getValue();
            if (condition.test(peer) && !excluded.contains(entry.getKey())) {
                boolean isNear =
                        peer.offer.domain().equals(ownDomain)
                                && peer.tunnelCount < MAX_TUNNELS_PER_PEER;
                (isNear ? near : far).add(entry.getKey());
            }
        }
        List<RouterId> candidates = near.isEmpty() ? far : near;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(lessLoadedOfTwo(candidates));
    }

    private RouterId lessLoadedOfTwo(List<RouterId> candidates) {
        if (candidates.size() == 1) {
            return candidates.get(0);
        }
        int firstIndex = random.nextInt(candidates.size());
        int step = 1 + random.nextInt(candidates.size() - 1);
        RouterId first = candidates.get(firstIndex);
        RouterId second = candidates.get((firstIndex + step) % candidates.size());
        return peers.get(first).tunnelCount <= peers.get(second).tunnelCount ? first : second;
    }

    void recordOpened(RouterId router) {
        Peer peer = peers.get(router);
        if (peer != null) {
            peer.tunnelCount++;
        }
    }

    void recordClosed(RouterId router) {
        Peer peer = peers.get(router);
        if (peer != null && peer.tunnelCount > 0) {
            peer.tunnelCount--;
        }
    }

    /** Records that a router did not open a tunnel for a reason of its own. */
    void recordFailure(RouterId router, long nowMs) {
        Peer peer = peers.get(router);
        if (peer != null) {
            peer.failedUntilMs = nowMs + FAILED_MS;
        }
    }

    private static boolean isUsable(Peer peer, long nowMs) {
        return peer.offer.isOpen() && nowMs >= peer.failedUntilMs;
    }
}
