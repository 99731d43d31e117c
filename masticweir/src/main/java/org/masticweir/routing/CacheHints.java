package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;

/**
 * What an engine is believed to hold in its prefix cache; immutable.
 *
 * <p>A wrong hint costs prefill time and nothing else.
 *
 * @param prefixes hashes of the prompt prefixes believed stored
 * @param trust from 0, nothing is known of the cache, to 1, every event was seen
 */
public record CacheHints(Set<String> prefixes, double trust) {
    private static final CacheHints NONE = new CacheHints(ImmutableSet.of(), 0);

    public CacheHints {
        prefixes = ImmutableSet.copyOf(checkNotNull(prefixes, "prefixes"));
        checkArgument(trust >= 0 && trust <= 1, "trust %s outside 0 to 1", trust);
    }

    /** Returns the hints on a cache of which nothing is known. */
    public static CacheHints none() {
        return NONE;
    }

    /** Returns how many leading blocks of a prompt with these {@code hashes} are stored. */
    int storedBlocks(List<String> hashes) {
        int n = 0;
        while (n < hashes.size() && prefixes.contains(hashes.get(n))) {
            n++;
        }
        return n;
    }
}
