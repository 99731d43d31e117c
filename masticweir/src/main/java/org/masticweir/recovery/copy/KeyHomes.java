package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/**
 * Chooses the router at which a key is registered, alike for the routers of all domains.
 *
 * <p>The domain is chosen first, by rendezvous hashing over the domains in touch, then a router of
 * that domain. A router knows all of its own domain but only a few of each other one, so it asks
 * the best of those few, which knows all of its domain and passes the question on where another
 * ranks first. Thread-safe.
 */
public final class KeyHomes {
    private final Supplier<? extends Map<RouterId, DomainId>> serving;
    private final RouterId self;
    private final DomainId ownDomain;

    private KeyHomes(
            Supplier<? extends Map<RouterId, DomainId>> serving,
            RouterId self,
            DomainId ownDomain) {
        this.serving = checkNotNull(serving, "serving");
        this.self = checkNotNull(self, "self");
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
    }

    /**
     * Returns the choice as {@code self} makes it.
     *
     * @param serving the other routers that serve, each with its domain; must return an immutable
     *     or never changing map
     */
    public static KeyHomes of(
            Supplier<? extends Map<RouterId, DomainId>> serving,
            RouterId self,
            DomainId ownDomain) {
        return new KeyHomes(serving, self, ownDomain);
    }

    /** Returns up to {@code n} routers to ask about {@code request}, the first choice first. */
    ImmutableList<RouterId> firstFor(RequestId request, int n) {
        ImmutableMap<RouterId, DomainId> now = withSelf();
        DomainId home = first(now.values().asList(), request, DomainId::value, 1).get(0);
        return first(routersOf(home, now), request, RouterId::value, n);
    }

    /** Returns the router of the own domain at which {@code request} is registered. */
    RouterId inOwnDomain(RequestId request) {
        return first(routersOf(ownDomain, withSelf()), request, RouterId::value, 1).get(0);
    }

    private ImmutableMap<RouterId, DomainId> withSelf() {
        return ImmutableMap.<RouterId, DomainId>builder()
                .putAll(serving.get())
                .put(self, ownDomain)
                .buildKeepingLast();
    }

    private static ImmutableList<RouterId> routersOf(
            DomainId domain, ImmutableMap<RouterId, DomainId> now) {
        return now.keySet().stream()
                .filter(r -> domain.equals(now.get(r)))
                .collect(ImmutableList.toImmutableList());
    }

    private static <T> ImmutableList<T> first(
            ImmutableList<T> all, RequestId request, Function<T, String> name, int n) {
        return all.stream()
                .distinct()
                .sorted(
                        Comparator.comparingLong((T t) -> weight(request, name.apply(t)))
                                .thenComparing(name))
                .limit(n)
                .collect(ImmutableList.toImmutableList());
    }

    /** Unlike the weight that ranks holders, so that a home is seldom the holder too. */
    private static long weight(RequestId request, String name) {
        String text = name + '\0' + request.value();
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
