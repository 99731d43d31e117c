package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.List;

/** Hashes of a prompt's leading blocks, each covering all tokens before it. */
public final class PrefixBlocks {
    /** Tokens in one block. */
    public static final int BLOCK_TOKENS = 16;

    /** Most blocks hashed for one prompt; longer prompts share no more than this for routing. */
    static final int MAX_BLOCKS = 32;

    private PrefixBlocks() {}

    /** Returns one hash for each whole block at the start of {@code prompt}, shortest first. */
    public static ImmutableList<String> hashesOf(List<Integer> prompt) {
        checkNotNull(prompt, "prompt");
        int blocks = Math.min(MAX_BLOCKS, prompt.size() / BLOCK_TOKENS);
        ImmutableList.Builder<String> hashes = ImmutableList.builderWithExpectedSize(blocks);
        long chain = 0;
        for (int b = 0; b < blocks; b++) {
            chain = blockHash(chain, prompt.subList(b * BLOCK_TOKENS, (b + 1) * BLOCK_TOKENS));
            hashes.add(Long.toHexString(chain));
        }
        return hashes.build();
    }

    private static long blockHash(long before, List<Integer> block) {
        Hasher h = Hashing.murmur3_128().newHasher().putLong(before);
        block.forEach(h::putInt);
        return h.hash().asLong();
    }
}
