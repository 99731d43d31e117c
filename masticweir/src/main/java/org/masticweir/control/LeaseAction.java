package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;

/** What a lease asks for; at most one call is under way at a time. */
public sealed interface LeaseAction {
    /** Read the row and tell it. */
    record Read(int ticket, RowKey key) implements LeaseAction {}

    /** Commit this and tell the outcome. */
    record Write(int ticket, Transaction transaction) implements LeaseAction {
        public Write {
            checkNotNull(transaction, "transaction");
        }
    }
}
