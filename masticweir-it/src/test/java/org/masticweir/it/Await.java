package org.masticweir.it;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.masticweir.time.Clock;

/** Waits for events and conditions, always with a bound; thread-safe. */
final class Await {
    private static final long POLL_MS = 20;
    private static final Clock CLOCK = Clock.system();

    private Await() {}

    /** Returns what {@code future} yields, which must be within {@code boundMs}. */
    static <T> T get(String what, CompletableFuture<T> future, long boundMs) {
        try {
            return future.get(boundMs, MILLISECONDS);
        } catch (TimeoutException e) {
            throw new AssertionError(what + ": not within " + boundMs + " ms", e);
        } catch (ExecutionException e) {
            throw new AssertionError(what + ": " + e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(what + ": interrupted", e);
        }
    }

    /** Returns once {@code condition} holds, which must be within {@code boundMs}. */
    static void until(String what, long boundMs, BooleanSupplier condition) {
        long dueMs = CLOCK.nowMs() + boundMs;
        while (!condition.getAsBoolean()) {
            if (CLOCK.nowMs() >= dueMs) {
                throw new AssertionError(what + ": not within " + boundMs + " ms");
            }
            elapse(POLL_MS);
        }
    }

    /** Fails if {@code condition} is seen not to hold at any time of the next {@code ms}. */
    static void holds(String what, long ms, BooleanSupplier condition) {
        long endMs = CLOCK.nowMs() + ms;
        do {
            if (!condition.getAsBoolean()) {
                throw new AssertionError(what + ": did not hold for " + ms + " ms");
            }
            elapse(POLL_MS);
        } while (CLOCK.nowMs() < endMs);
    }

    /** Returns after {@code ms}. */
    static void elapse(long ms) {
        Executor later = CompletableFuture.delayedExecutor(ms, MILLISECONDS);
        CompletableFuture.runAsync(() -> {}, later).join();
    }
}
