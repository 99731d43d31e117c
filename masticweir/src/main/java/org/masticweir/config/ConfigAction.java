package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

/** What {@link ConfigState} asks its adapter to do. */
public sealed interface ConfigAction {
    /**
     * Put both rows of {@code row} in one transaction, then report to {@link ConfigState#written}.
     *
     * <p>The transaction checks that {@code current} has {@code rowVersion} and that the history
     * has no row of this revision (0 means absent for both).
     */
    record WriteRow(StoredRevision row, long rowVersion) implements ConfigAction {
        public WriteRow {
            checkNotNull(row, "row");
        }
    }

    /**
     * Read {@code current}, then the history's row of {@code successor}, and report to {@link
     * ConfigState#read} or {@link ConfigState#unreadable}.
     */
    record ReadRow(String changeId, long successor) implements ConfigAction {
        public ReadRow {
            checkNotNull(changeId, "changeId");
        }
    }

    /** Put the revision in force on this router and send it to the peers. */
    record Announce(StoredRevision row, Deployment deployment) implements ConfigAction {
        public Announce {
            checkNotNull(row, "row");
            checkNotNull(deployment, "deployment");
        }
    }

    /** Answer the operator who proposed the change. */
    record Answer(ChangeAnswer answer) implements ConfigAction {
        public Answer {
            checkNotNull(answer, "answer");
        }
    }

    /** Log that a revision which was learned is not taken over. */
    record Refuse(long revision, RevisionSource source, String reason) implements ConfigAction {
        public Refuse {
            checkNotNull(source, "source");
            checkNotNull(reason, "reason");
        }
    }
}
