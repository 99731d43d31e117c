package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * What the table holds as far as one change is concerned.
 *
 * <p>An adapter reads {@code current} first and the successor after it, so that a successor which
 * the first read implies is seen by the second.
 *
 * @param rowVersion the table's own revision of the row {@code current}; 0 when it is absent
 * @param successor the history's row of the change's base revision plus one, if there is one
 */
public record TableView(
        Optional<StoredRevision> current, long rowVersion, Optional<HistoryEntry> successor) {
    public TableView {
        checkNotNull(current, "current");
        checkNotNull(successor, "successor");
        checkArgument(current.isPresent() == rowVersion > 0, "row version %s", rowVersion);
    }

    /** Returns the revision in force in the table, 0 if there is none. */
    long revision() {
        return current.map(StoredRevision::revision).orElse(0L);
    }
}
