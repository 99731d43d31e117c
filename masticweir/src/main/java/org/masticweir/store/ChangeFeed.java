package org.masticweir.store;

import java.util.concurrent.CompletableFuture;

/**
 * Tables whose changes can be waited for; implementations are thread-safe and never block.
 *
 * <p>Futures never complete exceptionally.
 */
public interface ChangeFeed {
    /** Reads all rows of {@code table} as of one moment, or what fits one answer of it. */
    CompletableFuture<FeedOutcome> readAll(String table, long timeoutMs);

    /**
     * Waits for rows that changed after {@code since}.
     *
     * @param since revision of the last answer. The answer may be of a later era; it then holds
     *     only the changes with a greater number, and the table must be read whole
     * @param waitMs how long the service may wait for a first change
     */
    CompletableFuture<FeedOutcome> changes(
            String table, Revision since, long waitMs, long timeoutMs);
}
