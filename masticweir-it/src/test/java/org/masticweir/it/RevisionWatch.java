package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.masticweir.time.Clock;

/**
 * Watches which revision is in force at each router, several tens of times a second.
 *
 * <p>Closing it fails if a router went back to a lower revision while it was watched.
 */
final class RevisionWatch implements AutoCloseable {
    private static final long EVERY_MS = 10;
    private static final long STOP_BOUND_MS = 5_000;
    private static final Clock CLOCK = Clock.system();

    private final DomainBed bed;
    private final List<DomainRouter> routers;
    private final Map<DomainRouter, Map<Long, Long>> firstSeenMs = new ConcurrentHashMap<>();
    private final List<String> reverts = new ArrayList<>();
    private final CompletableFuture<Void> done;
    private volatile boolean stopped;

    private RevisionWatch(DomainBed bed, List<DomainRouter> routers) {
        this.bed = checkNotNull(bed, "bed");
        this.routers = List.copyOf(routers);
        this.routers.forEach(r -> firstSeenMs.put(r, new ConcurrentHashMap<>()));
        done = CompletableFuture.runAsync(this::watch);
    }

    static RevisionWatch over(DomainBed bed, List<DomainRouter> routers) {
        return new RevisionWatch(bed, routers);
    }

    /** Waits until {@code revision} is in force at {@code router}; returns when it came, in ms. */
    long awaitInForce(DomainRouter router, long revision, long boundMs) {
        Map<Long, Long> seen = firstSeenMs.get(router);
        Await.until(
                "revision " + revision + " in force at " + router,
                boundMs,
                () -> seen.keySet().stream().anyMatch(r -> r >= revision));
        return seen.entrySet().stream()
                .filter(e -> e.getKey() >= revision)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElseThrow();
    }

    /** Prints and returns the time from {@code sinceMs} until {@code router} had the revision. */
    long report(String what, DomainRouter router, long revision, long sinceMs, long boundMs) {
        long tookMs = awaitInForce(router, revision, boundMs) - sinceMs;
        System.out.printf(
                "config delay: %s, domain %s: in force after %d ms%n",
                what, router.domain(), tookMs);
        return tookMs;
    }

    static long nowMs() {
        return CLOCK.nowMs();
    }

    @Override
    public void close() {
        stopped = true;
        Await.get("watch of revisions", done, STOP_BOUND_MS);
        if (!reverts.isEmpty()) {
            throw new AssertionError("went back: " + reverts);
        }
    }

    private void watch() {
        Map<DomainRouter, Long> last = new HashMap<>();
        while (!stopped) {
            for (DomainRouter router : routers) {
                long now = bed.operators(router).revision();
                if (now > 0) {
                    seen(router, last.getOrDefault(router, 0L), now);
                    last.put(router, now);
                }
            }
            Await.elapse(EVERY_MS);
        }
    }

    private void seen(DomainRouter router, long before, long now) {
        firstSeenMs.get(router).putIfAbsent(now, CLOCK.nowMs());
        if (now < before) {
            reverts.add(router + " from " + before + " to " + now);
        }
    }
}
