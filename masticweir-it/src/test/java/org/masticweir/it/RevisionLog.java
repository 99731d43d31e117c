package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import org.masticweir.time.Clock;

/** Asks every router over and over which revision is in force, until it is closed; thread-safe. */
final class RevisionLog implements AutoCloseable {
    private static final long EVERY_MS = 40;
    private static final long STOP_BOUND_MS = 5_000;
    private static final Clock CLOCK = Clock.system();

    /**
     * A revision that a router said was in force.
     *
     * @param askedAtMs when it was asked, before which the router may have held an older one
     */
    record Seen(String router, long revision, long askedAtMs, long atMs) {
        Seen {
            checkNotNull(router, "router");
        }
    }

    private final List<Seen> seen = new CopyOnWriteArrayList<>();
    private final ImmutableList<CompletableFuture<Void>> watches;
    private volatile boolean stopped;

    private RevisionLog(FaultFleet fleet, ExecutorService threads) {
        watches =
                fleet.routers().stream()
                        .map(r -> CompletableFuture.runAsync(() -> watch(fleet, r), threads))
                        .collect(ImmutableList.toImmutableList());
    }

    static RevisionLog start(FaultFleet fleet, ExecutorService threads) {
        return new RevisionLog(fleet, threads);
    }

    /** Returns the changes of revision that were seen, each router's in order of time. */
    ImmutableList<Seen> seen() {
        return ImmutableList.copyOf(seen);
    }

    @Override
    public void close() {
        stopped = true;
        watches.forEach(w -> Await.get("watch of revisions", w, STOP_BOUND_MS));
    }

    private void watch(FaultFleet fleet, FleetRouter router) {
        OperatorPort port = fleet.operators(router);
        long last = 0;
        while (!stopped) {
            long askedAtMs = CLOCK.nowMs();
            long now = port.revision();
            if (now > 0 && now != last) {
                seen.add(new Seen(router.id(), now, askedAtMs, CLOCK.nowMs()));
                last = now;
            }
            Await.elapse(EVERY_MS);
        }
    }
}
