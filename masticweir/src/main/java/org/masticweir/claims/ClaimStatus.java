package org.masticweir.claims;

import com.google.common.base.Ascii;
import org.masticweir.error.Verdict;

/** How far a claim has come, as its row in the table says. */
public enum ClaimStatus {
    /** Its owner may send, or has sent; nobody else ever may. */
    CLAIMED(false, Verdict.MAY_HAVE_RUN),
    /** No send took place under it and none will; anyone may claim anew. */
    RELEASED(true, Verdict.NOT_RUN),
    /** It ended, with the verdict stored beside. */
    DONE(false, Verdict.MAY_HAVE_RUN);

    private final boolean claimable;
    private final Verdict verdictWithoutOwner;

    ClaimStatus(boolean claimable, Verdict verdictOfLostOwner) {
        this.claimable = claimable;
        this.verdictWithoutOwner = verdictOfLostOwner;
    }

    /** Tells whether another claim may replace this one. */
    public boolean isClaimable() {
        return claimable;
    }

    /** Returns the most that the row alone says when its owner can't be asked. */
    Verdict verdictWithoutOwner() {
        return verdictWithoutOwner;
    }

    String wireName() {
        return Ascii.toLowerCase(name());
    }

    static ClaimStatus ofWireName(String word) {
        return valueOf(Ascii.toUpperCase(word));
    }
}
