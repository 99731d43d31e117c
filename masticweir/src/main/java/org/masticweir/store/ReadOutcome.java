package org.masticweir.store;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Function;

/**
 * How a read ended; as a read has no effect, "not done" and "unknown" are one outcome here.
 *
 * @param <T> what is read
 */
public sealed interface ReadOutcome<T> {
    /** Returns this outcome with what {@code step} makes of a value that was read. */
    default <R> ReadOutcome<R> map(Function<T, R> step) {
        if (this instanceof Done<T> done) {
            return new Done<>(step.apply(done.value()));
        }
        return new NotRead<>(((NotRead<T>) this).reason());
    }

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
