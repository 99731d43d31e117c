package org.masticweir.control;

/** How the sending of an order ended. */
public enum SendOutcome {
    /** The engine says that it holds now. */
    APPLIED(false),
    /** The engine knows a higher fencing number. */
    OLD_FENCING(false),
    /** The order never left, or was refused for another reason. */
    NOT_DONE(false),
    /** The order may have its effect yet. */
    UNKNOWN(true);

    private final boolean mayActLater;

    SendOutcome(boolean mayActLater) {
        this.mayActLater = mayActLater;
    }

    boolean mayActLater() {
        return mayActLater;
    }
}
