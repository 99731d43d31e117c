package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

/** An action of a claimant after a delegated write has an outcome or has timed out. */
sealed interface DelegationAction {
    /** Report this outcome of its write to the claim. */
    record Report(BatchEvent event) implements DelegationAction {
        public Report {
            checkNotNull(event, "event");
        }
    }

    /** Write the row on this router: the writer did not and never will. */
    record WriteLocally(BatchItem item) implements DelegationAction {
        public WriteLocally {
            checkNotNull(item, "item");
        }
    }
}
