package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/** The members and domains that a router knows at one moment; an immutable snapshot. */
public final class Membership {
    private final RouterAddress self;
    private final ImmutableMap<RouterId, Member> members;
    private final ImmutableMap<DomainId, DomainView> domains;
    private final ImmutableList<RouterId> servingHere;
    private final ImmutableList<RouterId> servingElsewhere;
    private final ImmutableList<RouterId> holdersHere;

    private Membership(
            RouterAddress self,
            MemberState ownState,
            List<Member> others,
            ImmutableMap<DomainId, DomainView> domains) {
        this.self = self;
        this.domains = domains;
        members = others.stream().collect(ImmutableMap.toImmutableMap(Member::router, m -> m));
        servingHere = serving(true);
        servingElsewhere = serving(false);
        holdersHere =
                ownState.holdsCopies()
                        ? ImmutableList.<RouterId>builder()
                                .addAll(servingHere)
                                .add(self.router())
                                .build()
                        : servingHere;
    }

    /** Returns the view of a router that knows no other yet. */
    public static Membership none(RouterAddress self) {
        return of(self, MemberState.STARTING, ImmutableList.of(), ImmutableMap.of());
    }

    static Membership of(
            RouterAddress self,
            MemberState ownState,
            List<Member> others,
            ImmutableMap<DomainId, DomainView> domains) {
        return new Membership(self, ownState, others, domains);
    }

    private ImmutableList<RouterId> serving(boolean here) {
        return members.values().stream()
                .filter(m -> m.domain().equals(self.domain()) == here)
                .filter(m -> m.state().holdsCopies())
                .map(Member::router)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the {@code n} peers of {@code self} that should hold copies for {@code request}.
     *
     * <p>{@code self} is the router that serves the request: this one, or one that was lost. In the
     * latter case this router is a candidate too, as it was in the lost one's choice.
     *
     * <p>Members of the own domain come first; members of other domains fill up when it has fewer
     * than {@code n}. Fewer than {@code n} are returned when no more serve.
     */
    public List<RouterId> holdersFor(RequestId request, RouterId self, int n) {
        checkNotNull(self, "self");
        checkArgument(n >= 0, "%s holders", n);
        ImmutableList<RouterId> near = holders(request, self, n, holdersHere);
        if (near.size() >= n) {
            return near;
        }
        return ImmutableList.<RouterId>builder()
                .addAll(near)
                .addAll(holders(request, self, n - near.size(), servingElsewhere))
                .build();
    }

    private static ImmutableList<RouterId> holders(
            RequestId request, RouterId self, int n, Collection<RouterId> from) {
        List<RouterId> others = from.stream().filter(id -> !id.equals(self)).toList();
        return Rendezvous.first(request.value(), others, n);
    }

    /** Returns the serving members of the own domain, this router left out. */
    public List<RouterId> servingHere() {
        return servingHere;
    }

    /** Returns the known serving members of other domains: a few of each. */
    public List<RouterId> servingElsewhere() {
        return servingElsewhere;
    }

    public Optional<Member> member(RouterId id) {
        return Optional.ofNullable(members.get(checkNotNull(id, "id")));
    }

    public Collection<Member> members() {
        return members.values();
    }

    public Optional<DomainView> domain(DomainId id) {
        return Optional.ofNullable(domains.get(checkNotNull(id, "id")));
    }

    public Collection<DomainView> domains() {
        return domains.values();
    }
}
