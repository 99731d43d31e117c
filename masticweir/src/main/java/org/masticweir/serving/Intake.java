package org.masticweir.serving;

/** Whether a router takes new requests. */
public enum Intake {
    /** Takes them. */
    OPEN(true, true),
    /** Still takes them, while the balancer learns that it should send none. */
    LEAVING(false, true),
    /** Takes none; finishes what it has. */
    CLOSED(false, false);

    private final boolean ready;
    private final boolean accepts;

    Intake(boolean ready, boolean accepts) {
        this.ready = ready;
        this.accepts = accepts;
    }

    /** Tells whether the balancer should send requests here. */
    public boolean ready() {
        return ready;
    }

    /** Tells whether a request that arrives all the same is taken. */
    public boolean accepts() {
        return accepts;
    }
}
