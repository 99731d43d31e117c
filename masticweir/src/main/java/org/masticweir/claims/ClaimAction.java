package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.MasticweirException;

/** An action that a claim's state machine requests. */
public sealed interface ClaimAction {
    /** Write this row and report the outcome with the ticket of the write. */
    record Write(ClaimWrite write) implements ClaimAction {
        public Write {
            checkNotNull(write, "write");
        }
    }

    /** The claim is committed; the router may send the request until {@code sendBeforeMs}. */
    record Grant(long sendBeforeMs) implements ClaimAction {}

    /**
     * Another submission holds the claim: join this submission at its owner, or return the result
     * stored in the row.
     */
    record ReportAlreadyClaimed(ClaimRow row) implements ClaimAction {
        public ReportAlreadyClaimed {
            checkNotNull(row, "row");
        }
    }

    /** Refuse the caller with this error; nothing was sent or will be sent. */
    record Refuse(MasticweirException error) implements ClaimAction {
        public Refuse {
            checkNotNull(error, "error");
        }
    }

    /** Remove this claim; it needs no further action. */
    record Remove() implements ClaimAction {}
}
