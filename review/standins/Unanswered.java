package org.masticweir.review;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Judges the rule that, of the requests that are still unanswered at their route's timeout, at most
 * half have no answer half a second later.
 */
final class Unanswered {
    private static final long GRACE_MS = 500;

    private Unanswered() {}

    /** Sends queries that may run once only; returns the break of the rule, if there is one. */
    static List<String> breaks(Caller caller, int queries, long gapMs) throws InterruptedException {
        AtomicInteger atTimeout = new AtomicInteger();
        AtomicInteger afterGrace = new AtomicInteger();
        CountDownLatch judged = new CountDownLatch(queries);
        for (int i = 0; i < queries; i++) {
            CompletableFuture<HttpResponse<String>> answer = caller.send(Site.Route.TEMP_QUERY);
            after(Site.TIMEOUT_MS, () -> atTimeout.addAndGet(answer.isDone() ? 0 : 1));
            after(
                    Site.TIMEOUT_MS + GRACE_MS,
                    () -> {
                        afterGrace.addAndGet(answer.isDone() ? 0 : 1);
                        judged.countDown();
                    });
            Thread.sleep(gapMs);
        }
        judged.await();
        List<String> breaks = new ArrayList<>();
        if (2 * afterGrace.get() > atTimeout.get()) {
            breaks.add(
                    String.format(
                            "of %d queries %d were unanswered after %d ms, %d of them %d ms later",
                            queries, atTimeout.get(), Site.TIMEOUT_MS, afterGrace.get(), GRACE_MS));
        }
        return breaks;
    }

    private static void after(long ms, Runnable step) {
        CompletableFuture.delayedExecutor(ms, TimeUnit.MILLISECONDS).execute(step);
    }
}
