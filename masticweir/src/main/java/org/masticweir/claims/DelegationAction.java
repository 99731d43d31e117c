package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

/** An action of a claimant after a delegated write has an outcome or has timed out. */
sealed interface DelegationAction {
    /** Report this outcome of a write to its claim. */
    record Report(BatchEvent event) implements DelegationAction {
        public Report {
            checkNotNull(event, "event");
        }
    }

    /** Write the row on this router: the writer has not written the row and never will. */
    record WriteLocally(BatchItem item) implements DelegationAction {
        public WriteLocally {
            checkNotNull(item, "item");
        }
    }
}
