package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

/** What a claimant does once it knows, or gives up on knowing, what a writer did. */
sealed interface DelegationAction {
    /** Tell the claim this outcome of its write. */
    record Report(BatchEvent event) implements DelegationAction {
        public Report {
            checkNotNull(event, "event");
        }
    }

    /** Write it here: the writer did not, and never will. */
    record WriteLocally(BatchItem item) implements DelegationAction {
        public WriteLocally {
            checkNotNull(item, "item");
        }
    }
}
