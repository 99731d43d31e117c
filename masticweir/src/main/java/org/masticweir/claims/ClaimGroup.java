package org.masticweir.claims;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.store.Transaction;

/**
 * Claims written in one transaction, each row once; immutable.
 *
 * @param id number of the group, which identifies its outcome
 */
record ClaimGroup(long id, List<BatchItem> items) {
    ClaimGroup {
        items = ImmutableList.copyOf(items);
    }

    Transaction transaction() {
        Transaction.Builder t = Transaction.builder();
        for (BatchItem item : items) {
            ClaimWrite w = item.write();
            t.check(w.key(), w.expectedRevision()).put(w.key(), w.row().encode());
        }
        return t.build();
    }
}
