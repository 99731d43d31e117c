package org.masticweir.claims;

import com.google.common.base.Ascii;
import org.masticweir.error.Verdict;

/** The status of a claim as stored in its row. */
public enum ClaimStatus {
    /** The owner may send or has sent; other routers must not send. */
    CLAIMED(false, Verdict.MAY_HAVE_RUN),
    /**
     * Nothing was sent or will be sent under this claim; any router may claim the request again.
     */
    RELEASED(true, Verdict.NOT_RUN),
    /** The request ended; the row contains its verdict. */
    DONE(false, Verdict.MAY_HAVE_RUN);

    private final boolean isClaimable;
    private final Verdict verdictWithoutOwner;

    ClaimStatus(boolean isClaimable, Verdict verdictWithoutOwner) {
        this.isClaimable = isClaimable;
        this.verdictWithoutOwner = verdictWithoutOwner;
    }

    /** Returns whether another claim may replace this one. */
    public boolean isClaimable() {
        return isClaimable;
    }

    /** Returns the verdict that the row alone proves when its owner can't be reached. */
    Verdict verdictWithoutOwner() {
        return verdictWithoutOwner;
    }

    String wireName() {
        return Ascii.toLowerCase(name());
    }

    static ClaimStatus ofWireName(String wireName) {
        return valueOf(Ascii.toUpperCase(wireName));
    }
}
