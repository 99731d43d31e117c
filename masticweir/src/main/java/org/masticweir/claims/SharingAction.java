package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

/** What a claimant does once it knows, or gives up on knowing, what a writer did. */
sealed interface SharingAction {
    /** Tell the claim this outcome of its write. */
    record Tell(BatchEvent event) implements SharingAction {
        public Tell {
            checkNotNull(event, "event");
        }
    }

    /** Write it here: the writer did not, and never will. */
    record WriteHere(BatchItem item) implements SharingAction {
        public WriteHere {
            checkNotNull(item, "item");
        }
    }
}
