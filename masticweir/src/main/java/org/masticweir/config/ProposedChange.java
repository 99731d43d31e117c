package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What an operator asks for: a document to follow on one revision.
 *
 * @param changeId fresh for each change; the same one again asks for the outcome of the same change
 * @param baseRevision the revision the operator read; 0 for the first document
 * @param atMs wall time, kept with the change for people
 * @param dryRun whether only to check it
 */
public record ProposedChange(
        String changeId,
        long baseRevision,
        String author,
        long atMs,
        String document,
        boolean dryRun) {
    private static final int MAX_NAME_CHARS = 128;

    public ProposedChange {
        checkNotNull(changeId, "changeId");
        checkNotNull(author, "author");
        checkNotNull(document, "document");
        checkArgument(baseRevision >= 0, "base revision %s below 0", baseRevision);
        checkArgument(!changeId.isEmpty(), "no change id");
        checkArgument(changeId.length() <= MAX_NAME_CHARS, "change id is too long");
        checkArgument(author.length() <= MAX_NAME_CHARS, "author is too long");
    }

    /** Returns the row that this change writes. */
    StoredRevision row() {
        return new StoredRevision(baseRevision + 1, changeId, author, atMs, document);
    }
}
