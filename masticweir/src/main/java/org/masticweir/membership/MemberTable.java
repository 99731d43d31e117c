package org.masticweir.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/**
 * The bounded set of other routers that one router keeps; owned by the control thread.
 *
 * <p>It holds the own domain up to a cap and a few of each other domain, those of the highest
 * rendezvous weight for this router, so that state and messages grow with the domain and not with
 * the fleet, and so that routers spread over each other's domains.
 */
final class MemberTable {
    /**
     * Best first: members that are heard, then unheard ones, dead ones last; then by weight.
     *
     * <p>A listed but dead member is listed again and again. Ranked by weight alone it would take a
     * live peer's place each time; ranked by what was heard it can't.
     */
    private static final Comparator<MemberEntry> PREFERENCE =
            Comparator.comparingInt(MemberTable::rank)
                    .thenComparing(Comparator.comparingLong(MemberEntry::weight).reversed());

    private final RouterAddress self;
    private final MembershipSettings settings;
    private final HeartbeatPace pace;
    private final Map<RouterId, MemberEntry> entries = new LinkedHashMap<>();

    MemberTable(RouterAddress self, MembershipSettings settings, HeartbeatPace pace) {
        this.self = self;
        this.pace = pace;
        this.settings = settings;
    }

    private static int rank(MemberEntry e) {
        if (e.judged() == MemberState.DEAD) {
            return 2;
        }
        return e.live() ? 0 : 1;
    }

    boolean isFar(DomainId domain) {
        return !domain.equals(self.domain());
    }

    int factor(DomainId domain) {
        return isFar(domain) ? settings.farFactor() : 1;
    }

    Optional<MemberEntry> get(RouterId id) {
        return Optional.ofNullable(entries.get(id));
    }

    Collection<MemberEntry> all() {
        return entries.values();
    }

    /** Returns the entry of {@code where}, added if it is new; empty for this router itself. */
    Optional<MemberEntry> admit(RouterAddress where, long nowMs) {
        MemberEntry known = entries.get(where.router());
        if (known != null || where.router().equals(self.router())) {
            return Optional.ofNullable(known);
        }
        int f = factor(where.domain());
        long weight = Rendezvous.weight(self.router().value(), where.router());
        MemberEntry e = new MemberEntry(where, weight, f, settings, pace, nowMs);
        entries.put(where.router(), e);
        return Optional.of(e);
    }

    void remove(MemberEntry e) {
        entries.remove(e.router());
    }

    /** Removes and returns the entries over their domain's bound. */
    List<MemberEntry> trim() {
        List<MemberEntry> gone = new ArrayList<>();
        for (List<MemberEntry> ofDomain : byDomain().values()) {
            int bound = bound(ofDomain, settings.maxOwnPeers(), settings.keptPerDomain());
            ofDomain.stream().sorted(PREFERENCE).skip(bound).forEach(gone::add);
        }
        gone.forEach(this::remove);
        return gone;
    }

    /** Returns the members that heartbeats go to; a dead one is not among them. */
    ImmutableList<MemberEntry> peers() {
        ImmutableList.Builder<MemberEntry> peers = ImmutableList.builder();
        for (List<MemberEntry> ofDomain : byDomain().values()) {
            int bound = bound(ofDomain, settings.maxOwnPeers(), settings.peersPerDomain());
            ofDomain.stream()
                    .filter(e -> e.judged() != MemberState.DEAD)
                    .sorted(PREFERENCE)
                    .limit(bound)
                    .forEach(peers::add);
        }
        return peers.build();
    }

    private int bound(List<MemberEntry> ofDomain, int own, int far) {
        return isFar(ofDomain.get(0).domain()) ? far : own;
    }

    private Map<DomainId, List<MemberEntry>> byDomain() {
        Map<DomainId, List<MemberEntry>> grouped = new LinkedHashMap<>();
        for (MemberEntry e : entries.values()) {
            grouped.computeIfAbsent(e.domain(), d -> new ArrayList<>()).add(e);
        }
        return grouped;
    }
}
