package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.masticweir.time.Clock;

/**
 * Guards one request from its start to its answer: a step that throws, and the deadline, are
 * reported whatever the request is waiting for; runs on the traffic thread.
 *
 * <p>The callers of a step are the I/O library and futures, which log an exception at most. Without
 * this class, nobody would answer a request whose step failed, or whose next step is never called.
 */
final class RequestGuard implements AutoCloseable {
    private final RequestTimer deadlineTimer;
    private final Clock clock;
    private final Consumer<RuntimeException> onFailure;

    RequestGuard(RequestTimer deadlineTimer, Clock clock, Consumer<RuntimeException> onFailure) {
        this.deadlineTimer = checkNotNull(deadlineTimer, "deadlineTimer");
        this.clock = checkNotNull(clock, "clock");
        this.onFailure = checkNotNull(onFailure, "onFailure");
    }

    /** Runs {@code onDeadline} at {@code expiresMs}, unless the guard is closed earlier. */
    void start(long expiresMs, Runnable onDeadline) {
        long leftMs = Math.max(1, expiresMs - clock.nowMs());
        deadlineTimer.set(leftMs, () -> run(() -> checkDeadline(expiresMs, onDeadline)));
    }

    private void checkDeadline(long expiresMs, Runnable onDeadline) {
        if (clock.nowMs() < expiresMs) {
            start(expiresMs, onDeadline);
        } else {
            onDeadline.run();
        }
    }

    /** Runs a step of the request, and reports its failure. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            onFailure.accept(e);
        }
    }

    /** Returns the result of a step of the request; empty if the step fails. */
    <T> Optional<T> get(Supplier<Optional<T>> step) {
        try {
            return step.get();
        } catch (RuntimeException e) {
            onFailure.accept(e);
            return Optional.empty();
        }
    }

    /** Ends the supervision of the deadline. */
    @Override
    public void close() {
        deadlineTimer.close();
    }
}
