package org.masticweir.standins.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.time.Clock;

/** Says whether a stand-in plays a frozen process just now; thread-safe. */
public final class Pause {
    private final Clock clock;
    private volatile long endMs;

    private Pause(Clock clock) {
        this.clock = checkNotNull(clock, "clock");
        this.endMs = clock.nowMs();
    }

    /** Returns a pause that is not active yet. */
    public static Pause inactive(Clock clock) {
        return new Pause(clock);
    }

    /** Freezes the stand-in from now on for {@code ms}; 0 ends a pause early. */
    public void begin(long ms) {
        checkArgument(ms >= 0, "pause of %s ms", ms);
        endMs = clock.nowMs() + ms;
    }

    public boolean active() {
        return remainingMs() > 0;
    }

    /** Returns the milliseconds until the pause ends, 0 when there is none. */
    public long remainingMs() {
        return Math.max(0, endMs - clock.nowMs());
    }
}
