package org.masticweir.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's transactional tables; implementations are thread-safe and never block. */
public interface TableService {
    /** Commits {@code transaction}; the future never completes exceptionally. */
    CompletableFuture<TransactionOutcome> transact(Transaction transaction, long timeoutMs);

    /** Reads one row; a row that does not exist is {@link Row#absent}. */
    CompletableFuture<ReadOutcome<Row>> read(RowKey key, long timeoutMs);

    /**
     * Reads up to {@code limit} rows in key order.
     *
     * @param after key after which to start; empty for the first row
     */
    CompletableFuture<ReadOutcome<List<Row>>> list(
            String table, String after, int limit, long timeoutMs);
}
