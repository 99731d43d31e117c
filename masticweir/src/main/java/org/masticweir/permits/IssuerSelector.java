package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Rendezvous;

/**
 * Selects the router that issues the permits of a shared rate, based on the links of this router.
 * Thread-safe.
 *
 * <p>Routers that are all linked with each other select the same issuer. Unlinked routers may be on
 * the other side of a network partition, where another issuer grants permits for the same rate.
 * Each side therefore grants only a fraction of the rate: the number of routers on this side
 * divided by the number of all known routers.
 */
final class IssuerSelector {
    /**
     * Time for which a router is counted after the loss of its link, in ms: longer than most
     * partitions.
     */
    private static final long ROUTER_EXPIRY_MS = 60_000;

    /** Maximum number of keys whose issuer is cached. */
    private static final int MAX_CACHED_KEYS = 4_096;

    private final RouterId self;
    private final Set<RouterId> linkedRouters = new HashSet<>();
    private final Map<RouterId, Long> lastSeenMs = new HashMap<>();
    private final Map<PermitKey, RouterId> cachedIssuers = new HashMap<>();
    private long linksChangedMs;

    IssuerSelector(RouterId self, long nowMs) {
        this.self = checkNotNull(self, "self");
        linksChangedMs = nowMs;
    }

    /** Adds a known router, linked or not. */
    synchronized void addRouter(RouterId router, long nowMs) {
        if (!router.equals(self)) {
            lastSeenMs.put(router, nowMs);
        }
    }

    synchronized void onLinkUp(RouterId router, long nowMs) {
        addRouter(router, nowMs);
        if (linkedRouters.add(router)) {
            onLinksChanged(nowMs);
        }
    }

    synchronized void onLinkDown(RouterId router, long nowMs) {
        addRouter(router, nowMs);
        if (linkedRouters.remove(router)) {
            onLinksChanged(nowMs);
        }
    }

    private void onLinksChanged(long nowMs) {
        cachedIssuers.clear();
        linksChangedMs = nowMs;
    }

    /**
     * Returns the time at which a link was last established or lost: issuers may have changed then.
     */
    synchronized long linksChangedMs() {
        return linksChangedMs;
    }

    /** Returns the router that issues the permits of {@code key}, possibly this router. */
    synchronized RouterId issuer(PermitKey key) {
        if (cachedIssuers.size() >= MAX_CACHED_KEYS) {
            cachedIssuers.clear();
        }
        return cachedIssuers.computeIfAbsent(key, this::select);
    }

    private RouterId select(PermitKey key) {
        Set<RouterId> candidates = new HashSet<>(linkedRouters);
        candidates.add(self);
        return Rendezvous.first(key.value(), candidates, 1).get(0);
    }

    /**
     * Returns the fraction of a rate that this router and its linked routers may grant together,
     * above 0 and at most 1.
     */
    synchronized double reachableFraction(long nowMs) {
        lastSeenMs
                .entrySet()
                .removeIf(
                        e ->
                                !linkedRouters.contains(e.getKey())
                                        && nowMs - e.getValue() > ROUTER_EXPIRY_MS);
        double reachable = linkedRouters.size() + 1;
        return reachable / (lastSeenMs.size() + 1);
    }
}
