package org.masticweir.time;

/**
 * Tells the time in milliseconds.
 *
 * <p>Decisions never read a clock: adapters read one and pass the value in. Implementations are
 * thread-safe.
 */
public interface Clock {
    /** Returns milliseconds since an arbitrary origin; never goes back within a process. */
    long nowMs();

    /** Returns milliseconds since the Unix epoch; for records that people read, never for waits. */
    long wallMs();

    /** Returns the clock of this machine. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
