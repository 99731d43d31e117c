package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

/** The outcome of one claim's write in a group. */
record BatchEvent(long claim, ClaimEvent event) {
    BatchEvent {
        checkNotNull(event, "event");
    }
}
