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
final class IssuerChoice {
    /** How long a router that is not heard of is reckoned with, in ms: longer than most cuts. */
    private static final long RECKONED_MS = 60_000;

    /** Keys whose issuer is remembered. */
    private static final int MOST_KEYS = 4_096;

    private final RouterId self;
    private final Set<RouterId> linked = new HashSet<>();
    private final Map<RouterId, Long> lastHeardMs = new HashMap<>();
    private final Map<PermitKey, RouterId> issuers = new HashMap<>();
    private long changedMs;

    IssuerChoice(RouterId self, long nowMs) {
        this.self = checkNotNull(self, "self");
        changedMs = nowMs;
    }

    /** There is a router, linked or not. */
    synchronized void learn(RouterId router, long nowMs) {
        if (!router.equals(self)) {
            lastHeardMs.put(router, nowMs);
        }
    }

    synchronized void linkUp(RouterId router, long nowMs) {
        learn(router, nowMs);
        if (linked.add(router)) {
            changed(nowMs);
        }
    }

    synchronized void linkDown(RouterId router, long nowMs) {
        learn(router, nowMs);
        if (linked.remove(router)) {
            changed(nowMs);
        }
    }

    private void changed(long nowMs) {
        issuers.clear();
        changedMs = nowMs;
    }

    /** Returns when a link came up or was lost last: issuers may be others since then. */
    synchronized long changedMs() {
        return changedMs;
    }

    /** Returns the router that issues the permits of {@code key}; may be this one. */
    synchronized RouterId issuer(PermitKey key) {
        if (issuers.size() >= MOST_KEYS) {
            issuers.clear();
        }
        return issuers.computeIfAbsent(key, this::choose);
    }

    private RouterId choose(PermitKey key) {
        Set<RouterId> candidates = new HashSet<>(linked);
        candidates.add(self);
        return Rendezvous.first(key.value(), candidates, 1).get(0);
    }

    /** Returns the part of a rate that this router's side may grant, above 0 and at most 1. */
    synchronized double part(long nowMs) {
        lastHeardMs
                .entrySet()
                .removeIf(e -> !linked.contains(e.getKey()) && nowMs - e.getValue() > RECKONED_MS);
        double heard = linked.size() + 1;
        return heard / (lastHeardMs.size() + 1);
    }
}
