package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The accepted changes to the document; immutable. */
public record ConfigHistory(List<Change> changes) {
    public ConfigHistory {
        changes = ImmutableList.copyOf(changes);
    }

    /**
     * One accepted change.
     *
     * @param atMs when it was accepted, since the Unix epoch
     */
    public record Change(long revision, String changeId, String author, long atMs) {
        public Change {
            checkNotNull(changeId, "changeId");
            checkNotNull(author, "author");
        }
    }
}
