package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.masticweir.id.DomainId;

/**
 * The highest revision that each known domain was heard to hold; not thread-safe.
 *
 * <p>A domain counts as holding a revision once any of its routers said so. That router may be lost
 * before it told the others of its domain; they then learn it from the table or from other domains.
 */
final class DomainHolders {
    private final DomainId own;
    private final Map<DomainId, Long> revisions =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

    private boolean complete;

    DomainHolders(DomainId own) {
        this.own = checkNotNull(own, "own");
        revisions.put(own, 0L);
    }

    DomainId own() {
        return own;
    }

    /** Notes a holder; a domain not yet known becomes known by it. */
    void hold(DomainId domain, long revision) {
        revisions.merge(domain, revision, Math::max);
    }

    /** Keeps exactly {@code known} and the own domain. */
    void know(Set<DomainId> known) {
        complete = true;
        revisions.keySet().removeIf(domain -> !domain.equals(own) && !known.contains(domain));
        known.forEach(domain -> hold(domain, 0));
    }

    /** Tells whether the domains were ever told; before that none may count as the only one. */
    boolean complete() {
        return complete;
    }

    boolean holds(DomainId domain, long revision) {
        return revisions.getOrDefault(domain, 0L) >= revision;
    }

    Set<DomainId> domains() {
        return revisions.keySet();
    }

    ImmutableMap<DomainId, Long> snapshot() {
        return ImmutableMap.copyOf(revisions);
    }
}
