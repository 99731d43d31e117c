package org.masticweir.operators;

import java.util.concurrent.CompletableFuture;

/**
 * What operators can read; changes nothing.
 *
 * <p>Implementations are thread-safe and do not block. What needs the platform's table comes as a
 * future, which fails with a {@link org.masticweir.error.MasticweirException}.
 */
public interface OperatorQueries {
    StatusAnswer status();

    EngineList engines();

    RequestList requests();

    /** Returns the document in force. */
    CompletableFuture<ConfigAnswer> config();

    /** Returns the accepted changes. */
    CompletableFuture<ConfigHistory> configHistory();
}
