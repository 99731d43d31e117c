package org.masticweir.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Names the engine that a prompt's first blocks belong on, unless it is loaded; thread-safe.
 *
 * <p>Rendezvous hashing with bounded load: an engine that joins or leaves moves only its own share
 * of prefixes, and a popular prefix overflows to the next engine of its own order.
 */
final class Affinity {
    /** Leading blocks that decide; what prompts of one kind have in common. */
    private static final int FIRST_BLOCKS = 4;

    /** How far above the mean load a prefix's engine may be and still be preferred. */
    private static final double LOAD_BOUND = 1.25;

    private final InFlight inFlight;

    Affinity(InFlight inFlight) {
        this.inFlight = inFlight;
    }

    static int blocks(RouteQuery query) {
        return Math.min(FIRST_BLOCKS, query.prefixHashes().size());
    }

    /** Returns the engine ranked highest for the prefix among those within the load bound. */
    Optional<EngineView> preferred(Candidates candidates, RouteQuery query, long nowMs) {
        if (query.prefixHashes().isEmpty()) {
            return Optional.empty();
        }
        String key = query.prefixHashes().get(blocks(query) - 1);
        EngineView best = null;
        long bestRank = Long.MIN_VALUE;
        for (EngineView e : candidates.local()) {
            long rank = rank(key, e);
            boolean higher = best == null || rank > bestRank;
            if (higher && !query.excluded().contains(e.id()) && inBound(candidates, e, nowMs)) {
                best = e;
                bestRank = rank;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the local engine that is known to store most of the prompt, if any does. */
    static Optional<EngineView> holder(Candidates candidates, RouteQuery query) {
        EngineView best = null;
        double most = 0;
        for (EngineView e : candidates.local()) {
            double stored = e.cache().trust() * e.cache().storedBlocks(query.prefixHashes());
            if (stored > most && !query.excluded().contains(e.id())) {
                best = e;
                most = stored;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean inBound(Candidates candidates, EngineView e, long nowMs) {
        double after = inFlight.expectedLoad(e, nowMs) + 1;
        double bound = LOAD_BOUND * candidates.localMeanLoad() * e.usableCapacity() + 1;
        return after <= Math.max(bound, LOAD_BOUND) && after <= e.usableCapacity();
    }

    private static long rank(String key, EngineView e) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putString(e.id().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
