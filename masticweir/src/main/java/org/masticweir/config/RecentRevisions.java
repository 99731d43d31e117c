package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * The revision in force here and the texts before it, from which edits for other routers are made.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class RecentRevisions {
    private final RecentTexts texts = new RecentTexts();
    private Optional<StoredRevision> latest = Optional.empty();

    /** Keeps a revision that came in force, higher than those before. */
    public void add(StoredRevision row) {
        latest = Optional.of(checkNotNull(row, "row"));
        texts.add(row.revision(), row.document());
    }

    /** Returns the latest for a router that holds {@code known}; empty if that is not lower. */
    public Optional<OfferedRevision> offerAbove(long known) {
        return newerThan(known).map(row -> offer(row, known));
    }

    /** Returns the latest whole for a router that holds {@code known}, if that is lower. */
    public Optional<OfferedRevision> wholeAbove(long known) {
        return newerThan(known).map(OfferedRevision::whole);
    }

    private Optional<StoredRevision> newerThan(long known) {
        return latest.filter(row -> row.revision() > known);
    }

    private OfferedRevision offer(StoredRevision row, long known) {
        return texts.editOf(known)
                .map(edit -> OfferedRevision.editOf(row, edit))
                .orElseGet(() -> OfferedRevision.whole(row));
    }
}
