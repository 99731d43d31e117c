package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Rendezvous;

/**
 * Which router issues the permits of a shared rate, as this router knows the others. Thread-safe.
 *
 * <p>All routers that are linked with each other choose the same one. Those that are not heard of
 * may be cut off, with one of them issuing the same permits on the far side: this side then grants
 * only the part of the rate that its routers make up, and a router that hears nobody the part of
 * one.
 */
final class IssuerSelector {
    /** How long a router that is not heard of is reckoned with, in ms: longer than most cuts. */
    private static final long ROUTER_EXPIRY_MS = 60_000;

    /** Keys whose issuer is remembered. */
    private static final int MAX_CACHED_KEYS = 4_096;

    private final RouterId self;
    private final Set<RouterId> linked = new HashSet<>();
    private final Map<RouterId, Long> lastSeenMs = new HashMap<>();
    private final Map<PermitKey, RouterId> issuers = new HashMap<>();
    private long linksChangedMs;

    IssuerSelector(RouterId self, long nowMs) {
        this.self = checkNotNull(self, "self");
        linksChangedMs = nowMs;
    }

    /** There is a router, linked or not. */
    synchronized void addRouter(RouterId router, long nowMs) {
        if (!router.equals(self)) {
            lastSeenMs.put(router, nowMs);
        }
    }

    synchronized void linkUp(RouterId router, long nowMs) {
        addRouter(router, nowMs);
        if (linked.add(router)) {
            onLinksChanged(nowMs);
        }
    }

    synchronized void linkDown(RouterId router, long nowMs) {
        addRouter(router, nowMs);
        if (linked.remove(router)) {
            onLinksChanged(nowMs);
        }
    }

    private void onLinksChanged(long nowMs) {
        issuers.clear();
        linksChangedMs = nowMs;
    }

    /** Returns when a link came up or was lost last: issuers may be others since then. */
    synchronized long linksChangedMs() {
        return linksChangedMs;
    }

    /** Returns the router that issues the permits of {@code key}; may be this one. */
    synchronized RouterId issuer(PermitKey key) {
        if (issuers.size() >= MAX_CACHED_KEYS) {
            issuers.clear();
        }
        return issuers.computeIfAbsent(key, this::select);
    }

    private RouterId select(PermitKey key) {
        Set<RouterId> candidates = new HashSet<>(linked);
        candidates.add(self);
        return Rendezvous.first(key.value(), candidates, 1).get(0);
    }

    /** Returns the part of a rate that this router's side may grant, above 0 and at most 1. */
    synchronized double reachableFraction(long nowMs) {
        lastSeenMs
                .entrySet()
                .removeIf(
                        e ->
                                !linked.contains(e.getKey())
                                        && nowMs - e.getValue() > ROUTER_EXPIRY_MS);
        double reachable = linked.size() + 1;
        return reachable / (lastSeenMs.size() + 1);
    }
}
