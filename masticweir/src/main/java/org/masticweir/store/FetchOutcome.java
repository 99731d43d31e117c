package org.masticweir.store;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/** How a fetch of weights ended. */
public sealed interface FetchOutcome {
    /** The weights are at the engine. */
    record Fetched() implements FetchOutcome {}

    /** The fetch was not started; after the time given it may be. */
    record NotDone(String reason, OptionalLong retryAfterMs) implements FetchOutcome {
        public NotDone {
            checkNotNull(reason, "reason");
            checkNotNull(retryAfterMs, "retryAfterMs");
        }
    }

    /** The fetch may have started, and may still be under way. */
    record Unknown(String reason) implements FetchOutcome {
        public Unknown {
            checkNotNull(reason, "reason");
        }
    }
}
