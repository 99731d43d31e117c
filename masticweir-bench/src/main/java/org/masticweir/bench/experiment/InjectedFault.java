package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A fault and when it really struck.
 *
 * @param fromMs when it was injected, on the callers' clock
 * @param taken whether its target took it
 */
record InjectedFault(Fault fault, long fromMs, boolean taken) {
    /** Tokens already on their way may still come after a fault, for this long. */
    static final long IN_FLIGHT_MS = 250;

    InjectedFault {
        checkNotNull(fault, "fault");
    }

    long untilMs() {
        return fromMs + fault.forMs();
    }

    /** Tells whether the fault lasted at some time from {@code startMs} to {@code endMs}. */
    boolean overlaps(long startMs, long endMs) {
        return startMs <= untilMs() && endMs >= fromMs;
    }

    /** Tells whether it made {@code engine} die, freeze or become unreachable. */
    boolean downs(String engine) {
        return taken && fault.kind().justifiesMove() && fault.target().equals(engine);
    }
}
