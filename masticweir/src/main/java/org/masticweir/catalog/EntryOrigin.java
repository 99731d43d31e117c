package org.masticweir.catalog;

import java.util.Optional;
import org.masticweir.store.Revision;

/** What is known of the moment at which a server's entry was written. */
public enum EntryOrigin {
    /** The entry was written in the era of its revision. */
    WRITTEN_IN_ERA,

    /**
     * The entry was written in that era, or before it: the store may have kept it in the older copy
     * with which the era began.
     */
    MAYBE_COPIED;

    /**
     * Returns the origin of the entry at {@code revision}.
     *
     * @param after the revision that the entry follows as a change; empty if it is part of a whole
     *     reading
     */
    public static EntryOrigin of(Optional<Revision> after, Revision revision) {
        boolean isChangeInEra = after.filter(r -> r.era() == revision.era()).isPresent();
        return isChangeInEra ? WRITTEN_IN_ERA : MAYBE_COPIED;
    }
}
