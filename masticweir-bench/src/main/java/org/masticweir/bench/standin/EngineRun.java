package org.masticweir.bench.standin;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One attempt at a request on one engine.
 *
 * @param request request id
 * @param first index of the first token it was asked for
 * @param produced tokens it computed
 */
public record EngineRun(
        String engine,
        String request,
        int generation,
        int attempt,
        long seed,
        int first,
        int produced) {
    public EngineRun {
        checkNotNull(engine, "engine");
        checkNotNull(request, "request");
    }
}
