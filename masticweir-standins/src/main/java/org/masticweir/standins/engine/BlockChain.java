package org.masticweir.standins.engine;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Names the prefixes of one sequence, one for each full block of tokens.
 *
 * <p>A prefix's name is the first 16 hexadecimal digits of a SHA-256 chain. The chain starts with
 * the hash of {@code model:version:adapter}; each block hashes the hash before it and the block's
 * tokens as 4-byte little-endian integers. Not thread-safe.
 */
final class BlockChain {
    static final int BLOCK_TOKENS = 16;

    private static final int NAME_CHARS = 16;
    private static final HashFunction SHA_256 = Hashing.sha256();

    private Hasher block;
    private int filled;

    private BlockChain(byte[] root) {
        startBlock(root);
    }

    static BlockChain of(LoadedModel model) {
        String root = model.model() + ':' + model.version() + ':' + model.adapter();
        return new BlockChain(SHA_256.hashString(root, StandardCharsets.UTF_8).asBytes());
    }

    /** Adds a token and returns the name of the prefix it completes, if it fills a block. */
    Optional<String> append(int token) {
        block.putInt(token);
        filled++;
        if (filled < BLOCK_TOKENS) {
            return Optional.empty();
        }
        HashCode hash = block.hash();
        startBlock(hash.asBytes());
        return Optional.of(hash.toString().substring(0, NAME_CHARS));
    }

    private void startBlock(byte[] hash) {
        block = SHA_256.newHasher().putBytes(hash);
        filled = 0;
    }
}
