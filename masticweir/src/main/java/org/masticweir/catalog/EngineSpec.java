package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the model engines of a service can hold; immutable.
 *
 * @param batch requests that run at once
 * @param memoryTokens tokens that fit an engine's memory
 * @param copies whether an engine copies a run's memory to another one as it grows
 */
public record EngineSpec(int batch, long memoryTokens, boolean copies) {
    public EngineSpec {
        checkArgument(batch >= 1, "batch %s", batch);
        checkArgument(memoryTokens >= 1, "memory of %s tokens", memoryTokens);
    }

    /** Returns whether a request of so many tokens can ever run. */
    public boolean holds(long tokens) {
        return tokens <= memoryTokens;
    }
}
