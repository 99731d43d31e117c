package org.masticweir.catalog;

/** What is known of the moment at which a server's entry was written. */
public enum EntryOrigin {
    /** The entry was written in the era of its revision. */
    WRITTEN_IN_ERA,

    /**
     * The entry was written in that era, or before it: the store may have kept it in the older copy
     * with which the era began.
     */
    MAYBE_COPIED
}
