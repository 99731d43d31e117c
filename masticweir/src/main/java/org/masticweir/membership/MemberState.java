package org.masticweir.membership;

/** What a router is thought to be doing; the first three it says itself, the rest others judge. */
public enum MemberState {
    /** Not heard from yet, or up without a configuration. */
    STARTING(true, false),
    /** Takes work and holds copies. */
    SERVING(true, true),
    /** Finishes what it has and leaves. */
    DRAINING(true, false),
    /** Unheard for a while, or its link broke. */
    SUSPECT(false, false),
    /** Unheard for so long that it is no longer waited for. */
    DEAD(false, false);

    private final boolean announced;
    private final boolean holdsCopies;

    MemberState(boolean announced, boolean holdsCopies) {
        this.announced = announced;
        this.holdsCopies = holdsCopies;
    }

    /** Tells whether a router may say this of itself. */
    public boolean announced() {
        return announced;
    }

    public boolean holdsCopies() {
        return holdsCopies;
    }
}
