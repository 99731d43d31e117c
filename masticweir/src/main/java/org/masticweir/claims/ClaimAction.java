package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.MasticweirException;

/** What a claim's state machine asks for. */
public sealed interface ClaimAction {
    /** Write this and tell the outcome under its ticket. */
    record Write(ClaimWrite write) implements ClaimAction {
        public Write {
            checkNotNull(write, "write");
        }
    }

    /** The claim stands: the router may send until this time. */
    record Grant(long sendBeforeMs) implements ClaimAction {}

    /** Another submission has the claim: join it at its owner or pass on what the row stores. */
    record ReportAlreadyClaimed(ClaimRow row) implements ClaimAction {
        public ReportAlreadyClaimed {
            checkNotNull(row, "row");
        }
    }

    /** Answer the caller with this; nothing was sent and nothing will be. */
    record Refuse(MasticweirException error) implements ClaimAction {
        public Refuse {
            checkNotNull(error, "error");
        }
    }

    /** Nothing is left to do for this claim. */
    record Remove() implements ClaimAction {}
}
