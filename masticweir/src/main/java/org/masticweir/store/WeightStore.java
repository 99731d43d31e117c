package org.masticweir.store;

import java.util.concurrent.CompletableFuture;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/** The platform's rate-limited store of model weights; implementations are thread-safe. */
public interface WeightStore {
    /** Has the weights loaded to {@code engine}; the future never completes exceptionally. */
    CompletableFuture<FetchOutcome> fetch(
            ModelId model, String version, EngineId engine, long timeoutMs);
}
