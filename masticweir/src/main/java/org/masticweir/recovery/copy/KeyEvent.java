package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.RouterId;

/** What happened to the question for a key's owner. */
public sealed interface KeyEvent {
    /** The home says that {@code owner} has the key. */
    record Answered(RouterId owner) implements KeyEvent {
        public Answered {
            checkNotNull(owner, "owner");
        }
    }

    /** The question could not be sent, or its link broke. */
    record Unreachable() implements KeyEvent {}

    /** Time passed. */
    record Tick() implements KeyEvent {}
}
