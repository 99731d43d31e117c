package org.masticweir.config;

/** How dearly a class's generations are kept, from which the copy kept on a peer follows. */
public enum Reliability {
    /** Nothing is copied; a lost router loses the request, and its caller asks again. */
    BEST_EFFORT(false, false),
    /**
     * A peer knows which engine runs the generation; a lost router costs a re-read of its stream.
     */
    PLACEMENT(true, false),
    /** A peer holds every token before it is released; router and engine may be lost together. */
    TOKENS(true, true);

    private final boolean copiesPlacement;
    private final boolean copiesTokens;

    Reliability(boolean copiesPlacement, boolean copiesTokens) {
        this.copiesPlacement = copiesPlacement;
        this.copiesTokens = copiesTokens;
    }

    public boolean copiesPlacement() {
        return copiesPlacement;
    }

    /** Tells whether tokens wait for a peer's acknowledgement before they are released. */
    public boolean copiesTokens() {
        return copiesTokens;
    }
}
