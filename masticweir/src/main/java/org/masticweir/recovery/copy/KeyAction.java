package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.RouterId;

/** What the router that asks for a key is to do next. */
public sealed interface KeyAction {
    /** Ask {@code home}; answer with {@code Answered} or {@code Unreachable}. */
    record Ask(RouterId home) implements KeyAction {
        public Ask {
            checkNotNull(home, "home");
        }
    }

    /** The key is registered for this router: run the request. */
    record Run() implements KeyAction {}

    /** No home answered: run the request, though another domain's router may run it too. */
    record RunAlone() implements KeyAction {}

    /** Nothing was sent here: read the answer from {@code owner}. */
    record Join(RouterId owner) implements KeyAction {
        public Join {
            checkNotNull(owner, "owner");
        }
    }

    /** Feed a {@code Tick} at {@code atMs}; replaces an earlier wake-up. */
    record WakeAt(long atMs) implements KeyAction {}
}
