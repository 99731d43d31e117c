package org.masticweir.standins.engine;

/** The tokens of the stand-in engine: a function of seed and index alone, so tests can check. */
public final class TokenSource {
    private static final long SEED_STRIDE = 1_000_003;
    private static final long LOW_31_BITS = 0x7FFF_FFFFL;

    private TokenSource() {}

    /** Returns the token at {@code index} of a generation that runs under {@code seed}. */
    public static int token(long seed, int index) {
        return (int) (mix(seed * SEED_STRIDE + index) & LOW_31_BITS);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
