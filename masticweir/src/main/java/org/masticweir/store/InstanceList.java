package org.masticweir.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of instances, which lags; implementations are thread-safe. */
public interface InstanceList {
    /** Reads the whole list; the future never completes exceptionally. */
    CompletableFuture<ReadOutcome<List<InstanceRecord>>> instances(long timeoutMs);
}
