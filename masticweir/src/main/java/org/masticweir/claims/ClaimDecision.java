package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.MasticweirException;

/** What a router is told about one submission that must run at most once. */
public sealed interface ClaimDecision {
    /** Send it under this permit, and report its end. */
    record Granted(ClaimPermit permit) implements ClaimDecision {
        public Granted {
            checkNotNull(permit, "permit");
        }
    }

    /**
     * Send nothing: another submission has the claim. Ask its owner to join; if that one can't be
     * reached, the row's verdict is all that is known.
     */
    record AlreadyClaimed(ClaimRow row) implements ClaimDecision {
        public AlreadyClaimed {
            checkNotNull(row, "row");
        }
    }

    /** Send nothing and answer the caller with this error, whose verdict is not run. */
    record Refused(MasticweirException error) implements ClaimDecision {
        public Refused {
            checkNotNull(error, "error");
        }
    }
}
