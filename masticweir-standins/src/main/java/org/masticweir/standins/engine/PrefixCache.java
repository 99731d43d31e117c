package org.masticweir.standins.engine;

import com.google.common.collect.Lists;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prefix blocks in limited memory, the least recently used one evicted first.
 *
 * <p>Not thread-safe: the engine's lock guards it.
 */
final class PrefixCache {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_BLOCKS = 64;

    private final int maxBlocks;
    private final CacheEvents events;
    private final Map<String, Boolean> blocks =
            new LinkedHashMap<>(INITIAL_BLOCKS, LOAD_FACTOR, true);

    private PrefixCache(int maxBlocks, CacheEvents events) {
        this.maxBlocks = maxBlocks;
        this.events = events;
    }

    static PrefixCache of(int maxTokens, CacheEvents events) {
        return new PrefixCache(maxTokens / BlockChain.BLOCK_TOKENS, events);
    }

    /** Returns how many tokens at the head of {@code prefixes} need no prefill; marks them used. */
    int cachedTokens(List<String> prefixes) {
        int hits = 0;
        while (hits < prefixes.size() && blocks.containsKey(prefixes.get(hits))) {
            hits++;
        }
        Lists.reverse(prefixes.subList(0, hits)).forEach(blocks::get);
        return hits * BlockChain.BLOCK_TOKENS;
    }

    /** Keeps all of {@code prefixes}, shorter ones longer, since longer ones need them. */
    void storeAll(List<String> prefixes, long nowMs) {
        Lists.reverse(prefixes).forEach(prefix -> store(prefix, nowMs));
    }

    /** Keeps {@code prefix} and evicts what no longer fits. */
    void store(String prefix, long nowMs) {
        if (maxBlocks == 0) {
            return;
        }
        if (blocks.put(prefix, true) == null) {
            events.add(CacheEvents.Kind.STORED, prefix, nowMs);
        }
        evict(nowMs);
    }

    private void evict(long nowMs) {
        while (blocks.size() > maxBlocks) {
            Iterator<String> oldest = blocks.keySet().iterator();
            String prefix = oldest.next();
            oldest.remove();
            events.add(CacheEvents.Kind.EVICTED, prefix, nowMs);
        }
    }
}
