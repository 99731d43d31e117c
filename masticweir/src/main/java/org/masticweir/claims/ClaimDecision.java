package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.MasticweirException;

/** The decision on one submission of a request that must run at most once. */
public sealed interface ClaimDecision {
    /** The router may send the request under this permit and reports the end of the request. */
    record Granted(ClaimPermit permit) implements ClaimDecision {
        public Granted {
            checkNotNull(permit, "permit");
        }
    }

    /**
     * Nothing may be sent because another submission holds the claim. The router sends the claim's
     * owner a request to join its run. If the owner can't be reached, only the row's verdict is
     * known.
     */
    record AlreadyClaimed(ClaimRow row) implements ClaimDecision {
        public AlreadyClaimed {
            checkNotNull(row, "row");
        }
    }

    /**
     * Nothing may be sent; the caller receives this error, which states that the request was not
     * run.
     */
    record Refused(MasticweirException error) implements ClaimDecision {
        public Refused {
            checkNotNull(error, "error");
        }
    }
}
