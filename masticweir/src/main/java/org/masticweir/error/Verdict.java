package org.masticweir.error;

import static com.google.common.base.Preconditions.checkNotNull;

/** Says what is known about whether a request ran on a back end; never more than is known. */
public enum Verdict {
    /** No attempt was sent, or each was refused by its back end before admission. */
    NOT_RUN(true),
    /** An attempt was sent whose fate is unknown, or it ran and did not complete. */
    MAY_HAVE_RUN(false),
    /** The request ran and its whole answer is known. */
    COMPLETED(false);

    private final boolean safeToSendAgain;

    Verdict(boolean safeToSendAgain) {
        this.safeToSendAgain = safeToSendAgain;
    }

    /** Tells whether a non-idempotent request with this verdict may be sent to a back end again. */
    public boolean safeToSendAgain() {
        return safeToSendAgain;
    }

    /** Returns the verdict on a request of which two attempts have the verdicts given. */
    public Verdict and(Verdict other) {
        checkNotNull(other, "other");
        return ordinal() >= other.ordinal() ? this : other;
    }
}
