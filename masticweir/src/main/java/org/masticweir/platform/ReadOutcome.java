package org.masticweir.platform;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * How a read ended; as a read has no effect, "not done" and "unknown" are one outcome here.
 *
 * @param <T> what is read
 */
public sealed interface ReadOutcome<T> {
    /** The service answered with this value. */
    record Done<T>(T value) implements ReadOutcome<T> {
        public Done {
            checkNotNull(value, "value");
        }
    }

    /** No usable answer came before the deadline; nothing is known about the value. */
    record NotRead<T>(String reason) implements ReadOutcome<T> {
        public NotRead {
            checkNotNull(reason, "reason");
        }
    }
}
