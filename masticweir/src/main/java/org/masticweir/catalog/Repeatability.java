package org.masticweir.catalog;

/** What a request allows after it may have run. */
public enum Repeatability {
    /** Running it again does no harm. */
    IDEMPOTENT(true),
    /** It must run once at most. */
    MUTATING(false),
    /** Another run goes on after the last event that was received. */
    RESUMABLE(true);

    private final boolean mayRunAgain;

    Repeatability(boolean mayRunAgain) {
        this.mayRunAgain = mayRunAgain;
    }

    /** Returns whether the request may be sent again once it may have run. */
    public boolean mayRunAgain() {
        return mayRunAgain;
    }
}
