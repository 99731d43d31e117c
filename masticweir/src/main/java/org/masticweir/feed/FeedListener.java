package org.masticweir.feed;

import java.util.Optional;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.Revision;

/** Hears of one table; called on the control thread. */
@FunctionalInterface
public interface FeedListener {
    /**
     * Rows came.
     *
     * @param since the revision after which these are all changes; empty if they are all rows
     * @param removalDueMs when a removal among them takes effect
     * @param asOfMs a time at which the store held nothing newer than these rows
     */
    void rows(FeedOutcome.Rows rows, Optional<Revision> since, long removalDueMs, long asOfMs);
}
