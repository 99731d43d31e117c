package org.masticweir.quarantine;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.id.ContentId;
import org.masticweir.id.RouterId;
import org.masticweir.time.Clock;
import org.masticweir.time.ManualScheduler;

/** The quarantines of some routers, whose updates reach all routers that are not cut off. */
public final class LinkedQuarantines {
    private static final long QUARANTINE_MS = 3_600_000;

    /** Longer than the time for which changes are batched. */
    private static final long MESSAGE_MS = 10;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final List<CrashUpdate> updates = new ArrayList<>();
    private final List<SharedQuarantine> all = new ArrayList<>();
    private final List<Integer> cutOff = new ArrayList<>();

    public LinkedQuarantines(int routers) {
        for (int i = 0; i < routers; i++) {
            int self = i;
            all.add(
                    new SharedQuarantine(
                            Quarantine.create(routerId(i), QUARANTINE_MS),
                            scheduler.clock(),
                            new MetricRegistry(),
                            scheduler,
                            update -> broadcast(self, update),
                            record -> {}));
        }
    }

    private static RouterId routerId(int number) {
        return RouterId.of("r" + number);
    }

    /** Returns the clock of all routers. */
    public Clock clock() {
        return scheduler.clock();
    }

    /** Returns all updates that any router has sent, in order. */
    public ImmutableList<CrashUpdate> updates() {
        return ImmutableList.copyOf(updates);
    }

    /** Returns the content of a request with its own whole content and the given parts. */
    public static RequestContent content(String whole, String... parts) {
        ImmutableSet.Builder<ContentId> ids = ImmutableSet.builder();
        for (String part : parts) {
            ids.add(ContentId.of(part));
        }
        return new RequestContent(ContentId.of(whole), ids.build());
    }

    public SharedQuarantine of(int router) {
        return all.get(router);
    }

    /** Sends no updates to and from {@code router} until it is linked again. */
    public void cutOff(int router) {
        cutOff.add(router);
    }

    /** Links {@code router} again; it exchanges snapshots with the others. */
    public void link(int router) {
        cutOff.remove((Integer) router);
        for (int i = 0; i < all.size(); i++) {
            if (i != router && !cutOff.contains(i)) {
                int other = i;
                of(router).snapshot().ifPresent(s -> of(other).handleUpdate(routerId(router), s));
                of(other).snapshot().ifPresent(s -> of(router).handleUpdate(routerId(other), s));
            }
        }
    }

    /** Delivers {@code update} of router {@code from} to {@code to}, linked or not. */
    public void deliver(int to, int from, CrashUpdate update) {
        of(to).handleUpdate(routerId(from), update);
    }

    private void broadcast(int from, CrashUpdate update) {
        updates.add(update);
        for (int i = 0; i < all.size(); i++) {
            if (i != from && !cutOff.contains(i) && !cutOff.contains(from)) {
                deliver(i, from, update);
            }
        }
    }

    /** Waits until the updates of all routers have been sent. */
    public void awaitUpdates() {
        advance(MESSAGE_MS);
    }

    /** Runs {@code step} once the clock has moved on by {@code ms}. */
    public void runAfter(long ms, Runnable step) {
        scheduler.at(nowMs() + ms, step);
    }

    public void advance(long ms) {
        scheduler.runTo(nowMs() + ms);
    }

    public long nowMs() {
        return scheduler.clock().nowMs();
    }

    public SendRule rule(int router, RequestContent content) {
        return of(router).sendRule(() -> content, nowMs());
    }
}
