package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticweir.time.ManualClock;

/** Feeds a trace to decision code under a clock that only the trace moves. */
abstract class Replay {
    private final ManualClock clock = ManualClock.startingAt(0);

    /** Returns the outcome of all of {@code trace}. */
    final JsonNode run(Trace trace) {
        for (Trace.Event event : trace.events()) {
            passTo(event.atMs());
            apply(event);
        }
        return outcome();
    }

    final long nowMs() {
        return clock.nowMs();
    }

    final void moveTo(long ms) {
        clock.advanceMs(ms - clock.nowMs());
    }

    /** Lets the time come, with all that is due on the way. */
    void passTo(long ms) {
        moveTo(ms);
    }

    abstract void apply(Trace.Event event);

    abstract JsonNode outcome();

    static IllegalArgumentException unknown(Trace.Event event) {
        return new IllegalArgumentException("unknown event " + event.kind());
    }
}
