package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.EngineId;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;

/** What the orders to one engine ask for; at most one call is under way at a time. */
public sealed interface OrderAction {
    /** Read the engine's journal row and tell it. */
    record ReadJournal(int ticket, RowKey key) implements OrderAction {}

    /** Commit this and tell the outcome. */
    record WriteJournal(int ticket, Transaction transaction) implements OrderAction {
        public WriteJournal {
            checkNotNull(transaction, "transaction");
        }
    }

    /** Ask the engine what it holds. */
    record ReadBack(int ticket, EngineId engine) implements OrderAction {}

    /**
     * Check the lease once more, send the order and tell how that ended.
     *
     * @param needsWeights whether weights must be fetched to the engine first
     */
    record Send(int ticket, EngineId engine, Order order, boolean needsWeights)
            implements OrderAction {
        public Send {
            checkNotNull(order, "order");
        }
    }
}
