package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.masticweir.id.ModelId;

/**
 * Names of a prompt's leading blocks, each covering all tokens before it, as engines publish them.
 *
 * <p>A name is the first 16 hexadecimal digits of a SHA-256 chain: the hash of {@code
 * model:version:adapter} comes first, and each block hashes the hash before it and the block's
 * tokens as 4-byte little-endian integers. An adapter changes what is cached, so it is in the name.
 */
public final class PrefixBlocks {
    /** Tokens in one block. */
    public static final int BLOCK_TOKENS = 16;

    /** Most blocks hashed for one prompt; longer prompts share no more than this for routing. */
    static final int MAX_BLOCKS = 32;

    private static final int NAME_CHARS = 16;
    private static final HashFunction SHA_256 = Hashing.sha256();

    private PrefixBlocks() {}

    /** Returns one name for each whole block at the start of {@code prompt}, shortest first. */
    public static ImmutableList<String> hashesOf(
            ModelId model, String version, String adapter, List<Integer> prompt) {
        checkNotNull(model, "model");
        checkNotNull(prompt, "prompt");
        int blocks = Math.min(MAX_BLOCKS, prompt.size() / BLOCK_TOKENS);
        ImmutableList.Builder<String> names = ImmutableList.builderWithExpectedSize(blocks);
        String root = model.value() + ':' + version + ':' + adapter;
        HashCode chain = SHA_256.hashString(root, StandardCharsets.UTF_8);
        for (int b = 0; b < blocks; b++) {
            chain = blockHash(chain, prompt.subList(b * BLOCK_TOKENS, (b + 1) * BLOCK_TOKENS));
            names.add(chain.toString().substring(0, NAME_CHARS));
        }
        return names.build();
    }

    private static HashCode blockHash(HashCode before, List<Integer> block) {
        Hasher h = SHA_256.newHasher().putBytes(before.asBytes());
        block.forEach(h::putInt);
        return h.hash();
    }
}
