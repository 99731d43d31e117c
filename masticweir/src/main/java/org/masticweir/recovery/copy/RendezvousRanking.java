package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;
import java.util.function.Supplier;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/**
 * Ranks routers by rendezvous hashing of the request id, those of the own domain first.
 *
 * <p>Routers with the same view find the same order without a table, and a router that comes or
 * goes moves only the requests that it ranks first for. Thread-safe.
 */
public final class RendezvousRanking implements HolderRanking {
    private final Supplier<Map<RouterId, DomainId>> serving;
    private final DomainId ownDomain;

    private RendezvousRanking(Supplier<Map<RouterId, DomainId>> serving, DomainId ownDomain) {
        this.serving = checkNotNull(serving, "serving");
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
    }

    /**
     * Returns a ranking of the routers that serve, each with its domain, as membership sees them.
     *
     * @param serving must return an immutable or never changing map
     */
    public static RendezvousRanking of(
            Supplier<Map<RouterId, DomainId>> serving, DomainId ownDomain) {
        return new RendezvousRanking(serving, ownDomain);
    }

    @Override
    public ImmutableList<RouterId> holdersFor(RequestId request, RouterId owner, int n) {
        checkNotNull(request, "request");
        Map<RouterId, DomainId> now = serving.get();
        Comparator<RouterId> order =
                Comparator.comparing((RouterId r) -> !now.get(r).equals(ownDomain))
                        .thenComparing(byWeight(request));
        return now.keySet().stream()
                .filter(r -> !r.equals(owner))
                .sorted(order)
                .limit(n)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns {@code self} and, of each domain, the first {@code n} routers and one more.
     *
     * <p>A caller whose domain is lost comes back through another one. Its owner chose the holder
     * from the owner's domain, so the ranking of the asking router's domain alone would miss it.
     */
    @Override
    public ImmutableList<RouterId> candidatesFor(RequestId request, RouterId self, int n) {
        checkNotNull(request, "request");
        Map<RouterId, DomainId> now = serving.get();
        ImmutableList.Builder<RouterId> asked = ImmutableList.builder();
        asked.add(self);
        ImmutableSet.copyOf(now.values()).stream()
                .sorted(Comparator.comparing((DomainId d) -> !d.equals(ownDomain)))
                .forEach(d -> asked.addAll(firstOf(d, now, request, self, n + 1)));
        return asked.build();
    }

    private static ImmutableList<RouterId> firstOf(
            DomainId domain, Map<RouterId, DomainId> now, RequestId request, RouterId self, int n) {
        return now.keySet().stream()
                .filter(r -> now.get(r).equals(domain) && !r.equals(self))
                .sorted(byWeight(request))
                .limit(n)
                .collect(ImmutableList.toImmutableList());
    }

    private static Comparator<RouterId> byWeight(RequestId request) {
        return Comparator.comparing((RouterId r) -> weight(request, r))
                .reversed()
                .thenComparing(RouterId::value);
    }

    private static long weight(RequestId request, RouterId router) {
        String text = request.value() + '\0' + router.value();
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
