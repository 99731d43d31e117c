package org.masticweir.review;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;

/** Results of tasks that a case waits for. */
final class Futures {
    private Futures() {}

    static <T> T join(Future<T> future) {
        try {
            return future.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException("a caller failed", e);
        }
    }
}
