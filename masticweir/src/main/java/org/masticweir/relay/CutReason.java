package org.masticweir.relay;

import com.google.common.base.Ascii;

/**
 * Reason why the connection of a caller ended before its answer was complete, so that the caller
 * has neither a complete answer nor a status that says what became of its request.
 */
enum CutReason {
    /** The caller ended its side of the connection; it may have closed the other side, too. */
    CALLER_ENDED_INPUT(Decider.CALLER),
    CALLER_RESET(Decider.CALLER),
    CONNECTION_CLOSED(Decider.CALLER),
    WRITE_FAILED(Decider.CALLER),
    /** The last part of a complete answer could not be written. */
    LAST_PART_NOT_WRITTEN(Decider.CALLER),
    CALLER_TOO_SLOW(Decider.ROUTER),
    NO_FURTHER_SEND(Decider.ROUTER),
    DEADLINE(Decider.ROUTER),
    SHUTDOWN(Decider.ROUTER),
    QUARANTINE(Decider.ROUTER),
    INTERNAL_ERROR(Decider.ROUTER);

    private final Decider decider;

    /** The side that ended the connection. */
    enum Decider {
        CALLER,
        ROUTER
    }

    CutReason(Decider decider) {
        this.decider = decider;
    }

    Decider decider() {
        return decider;
    }

    /** Returns the value of the metric's label. */
    String label() {
        return Ascii.toLowerCase(name());
    }
}
