package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One accepted change as the history keeps it, without its document; immutable.
 *
 * @param atMs when it was proposed, in ms since the Unix epoch
 */
public record HistoryEntry(long revision, String changeId, String author, long atMs) {
    public HistoryEntry {
        checkArgument(revision >= 1, "revision %s below 1", revision);
        checkNotNull(changeId, "changeId");
        checkNotNull(author, "author");
    }

    String sentence() {
        return "change " + changeId + " by " + author + " is revision " + revision;
    }
}
