package org.masticweir.membership;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.Comparator;
import org.masticweir.id.RouterId;

/**
 * Rendezvous hashing: every router ranks the same members alike for the same key.
 *
 * <p>When a member comes or goes, only the keys that ranked it among their first change.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /** Returns the weight of {@code member} for {@code key}; the highest weight ranks first. */
    public static long weight(String key, RouterId member) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, UTF_8)
                .putChar('\0')
                .putString(member.value(), UTF_8)
                .hash()
                .asLong();
    }

    /** Returns the first {@code n} of {@code members} for {@code key}, highest weight first. */
    public static ImmutableList<RouterId> first(String key, Collection<RouterId> members, int n) {
        return members.stream()
                .map(m -> new Weighed(m, weight(key, m)))
                .sorted(Comparator.comparingLong(Weighed::weight).reversed())
                .limit(n)
                .map(Weighed::member)
                .collect(ImmutableList.toImmutableList());
    }

    private record Weighed(RouterId member, long weight) {}
}
