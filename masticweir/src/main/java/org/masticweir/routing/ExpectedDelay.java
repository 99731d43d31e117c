package org.masticweir.routing;

/** Estimates the parts of the time from a send to the next token. */
final class ExpectedDelay {
    /**
     * Share of the affinity blocks counted as cached on the engine that rendezvous hashing names
     * when its cache events tell nothing: earlier prompts of the kind went there too.
     */
    private static final double ASSUMED_HIT = 0.5;

    private ExpectedDelay() {}

    /** Returns the wait for a place and for one step among {@code load} sequences. */
    static double atLoadMs(EngineView e, double load) {
        return queueMs(e, load) + stepMs(e, load);
    }

    private static double queueMs(EngineView e, double load) {
        int capacity = e.usableCapacity();
        double ahead = Math.max(0, load + 1 - capacity);
        return ahead * e.speed().holdMs() / capacity;
    }

    /** Returns the time to compute the tokens of the prompt that are not believed cached. */
    static double prefillMs(EngineView e, RouteQuery query, boolean preferred) {
        double cached = Math.min(query.contextTokens(), cachedTokens(e, query, preferred));
        return (query.contextTokens() - cached) / e.speed().prefillTokensPerMs();
    }

    private static double cachedTokens(EngineView e, RouteQuery query, boolean preferred) {
        double trust = e.cache().trust();
        int blocks = e.cache().storedBlocks(query.prefixHashes());
        double assumed = preferred ? ASSUMED_HIT * Affinity.blocks(query) : 0;
        double expected = Math.max(trust * blocks, assumed);
        return expected * PrefixBlocks.BLOCK_TOKENS;
    }

    private static double stepMs(EngineView e, double load) {
        double batch = Math.min(load + 1, e.load().capacity());
        return e.speed().stepMs() + e.speed().stepGrowthMs() * batch;
    }
}
