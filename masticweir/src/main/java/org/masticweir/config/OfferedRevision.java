package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * A revision as one router passes it to another: whole, or as an edit of one that the other holds.
 *
 * <p>Immutable.
 *
 * @param entry what the history keeps of it
 * @param document its text, unless there is an edit
 * @param edit of the text that the asking router named
 */
public record OfferedRevision(
        HistoryEntry entry, Optional<String> document, Optional<DocumentEdit> edit) {
    public OfferedRevision {
        checkNotNull(entry, "entry");
        checkNotNull(document, "document");
        checkNotNull(edit, "edit");
        checkArgument(document.isPresent() != edit.isPresent(), "either document or edit");
    }

    static OfferedRevision whole(StoredRevision row) {
        return new OfferedRevision(row.entry(), Optional.of(row.document()), Optional.empty());
    }

    static OfferedRevision editOf(StoredRevision row, DocumentEdit edit) {
        return new OfferedRevision(row.entry(), Optional.empty(), Optional.of(edit));
    }

    /** Returns the revision, given the one that is held; empty if the edit is of another text. */
    public Optional<StoredRevision> resolve(Optional<StoredRevision> held) {
        Optional<String> text =
                document.or(() -> held.flatMap(h -> edit.orElseThrow().applyTo(h.document())));
        return text.map(
                t ->
                        new StoredRevision(
                                entry.revision(),
                                entry.changeId(),
                                entry.author(),
                                entry.atMs(),
                                t));
    }
}
