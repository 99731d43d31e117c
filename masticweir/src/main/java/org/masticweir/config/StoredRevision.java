package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One revision of the document as the table's row {@code current} keeps it; immutable.
 *
 * @param changeId chosen by the operator's client; tells a change apart from every other
 * @param atMs when it was proposed, in ms since the Unix epoch; for people only
 * @param document the INI text
 */
public record StoredRevision(
        long revision, String changeId, String author, long atMs, String document) {
    public StoredRevision {
        checkArgument(revision >= 1, "revision %s below 1", revision);
        checkNotNull(changeId, "changeId");
        checkNotNull(author, "author");
        checkNotNull(document, "document");
    }

    /** Returns the row that the history keeps: everything but the document. */
    public HistoryEntry entry() {
        return new HistoryEntry(revision, changeId, author, atMs);
    }
}
