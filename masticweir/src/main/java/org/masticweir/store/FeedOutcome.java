package org.masticweir.store;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/** How one call to a {@link ChangeFeed} ended. */
public sealed interface FeedOutcome {
    /** Rows that changed, as of {@code revision}; a whole reading holds all that are there. */
    record Rows(List<Change> changes, Revision revision) implements FeedOutcome {
        public Rows {
            changes = ImmutableList.copyOf(changes);
            checkNotNull(revision, "revision");
        }
    }

    /**
     * One row that changed.
     *
     * @param value empty if the row was removed, or if what it holds is no text
     */
    record Change(RowKey key, Revision revision, boolean removed, Optional<String> value) {
        public Change {
            checkNotNull(key, "key");
            checkNotNull(revision, "revision");
            checkNotNull(value, "value");
        }
    }

    /** The service no longer has the changes asked for; the table must be read whole. */
    record HistoryGone() implements FeedOutcome {}

    /** No usable answer came in time. */
    record Failed(String reason) implements FeedOutcome {
        public Failed {
            checkNotNull(reason, "reason");
        }
    }
}
