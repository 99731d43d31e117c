package org.masticweir.recovery;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Carries out actions one after the other, also those that come while one is carried out.
 *
 * <p>An action may feed an event to its state machine, which returns more actions: they wait for
 * their turn here instead of nesting. Not thread-safe: owned by one thread.
 */
public final class ActionLoop<A> {
    private final Deque<A> pending = new ArrayDeque<>();
    private final Consumer<A> step;
    private boolean running;

    private ActionLoop(Consumer<A> step) {
        this.step = checkNotNull(step, "step");
    }

    /** Returns a loop that carries out each action by {@code step}. */
    public static <A> ActionLoop<A> carryingOutBy(Consumer<A> step) {
        return new ActionLoop<>(step);
    }

    /** Carries out {@code actions}, or queues them if one is being carried out. */
    public void run(List<? extends A> actions) {
        pending.addAll(actions);
        if (running) {
            return;
        }
        running = true;
        try {
            while (!pending.isEmpty()) {
                step.accept(pending.removeFirst());
            }
        } finally {
            running = false;
        }
    }

    /** Drops what has not been carried out. */
    public void clear() {
        pending.clear();
    }
}
