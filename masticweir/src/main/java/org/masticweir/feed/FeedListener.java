package org.masticweir.feed;

import org.masticweir.store.FeedOutcome;

/** Hears of one table; called on the control thread. */
@FunctionalInterface
public interface FeedListener {
    /**
     * Rows came.
     *
     * @param whole whether these are all rows of the table
     * @param removalDueMs when a removal among them takes effect
     */
    void rows(FeedOutcome.Rows rows, boolean whole, long removalDueMs);
}
