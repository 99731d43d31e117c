package org.masticweir.relay;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.id.ContentId;
import org.masticweir.id.RouterId;
import org.masticweir.quarantine.CrashUpdate;
import org.masticweir.quarantine.Quarantine;
import org.masticweir.quarantine.RequestContent;
import org.masticweir.quarantine.SendRule;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.time.ManualScheduler;

/** The quarantines of some routers, whose updates reach all routers that are not cut off. */
final class LinkedQuarantines {
    private static final long QUARANTINE_MS = 3_600_000;

    /** Longer than the time for which changes are batched. */
    private static final long MESSAGE_MS = 10;

    final ManualScheduler scheduler = new ManualScheduler();
    final List<CrashUpdate> updates = new ArrayList<>();
    private final List<SharedQuarantine> all = new ArrayList<>();
    private final List<Integer> cutOff = new ArrayList<>();

    LinkedQuarantines(int routers) {
        for (int i = 0; i < routers; i++) {
            int self = i;
            all.add(
                    new SharedQuarantine(
                            Quarantine.create(routerId(i), QUARANTINE_MS),
                            scheduler.clock(),
                            new MetricRegistry(),
                            scheduler,
                            update -> deliver(self, update),
                            record -> {}));
        }
    }

    private static RouterId routerId(int number) {
        return RouterId.of("r" + number);
    }

    /** Returns the content of a request with its own whole content and the given parts. */
    static RequestContent content(String whole, String... parts) {
        ImmutableSet.Builder<ContentId> ids = ImmutableSet.builder();
        for (String part : parts) {
            ids.add(ContentId.of(part));
        }
        return new RequestContent(ContentId.of(whole), ids.build());
    }

    SharedQuarantine of(int router) {
        return all.get(router);
    }

    /** Sends no updates to and from {@code router} until it is linked again. */
    void cutOff(int router) {
        cutOff.add(router);
    }

    /** Links {@code router} again; it exchanges snapshots with the others. */
    void link(int router) {
        cutOff.remove((Integer) router);
        for (int i = 0; i < all.size(); i++) {
            if (i != router && !cutOff.contains(i)) {
                int other = i;
                of(router).snapshot().ifPresent(s -> of(other).handleUpdate(routerId(router), s));
                of(other).snapshot().ifPresent(s -> of(router).handleUpdate(routerId(other), s));
            }
        }
    }

    /** Delivers an update of {@code from} to all other routers that are linked. */
    void deliver(int from, CrashUpdate update) {
        updates.add(update);
        for (int i = 0; i < all.size(); i++) {
            if (i != from && !cutOff.contains(i) && !cutOff.contains(from)) {
                of(i).handleUpdate(routerId(from), update);
            }
        }
    }

    /** Waits until the updates of all routers have been sent. */
    void awaitUpdates() {
        advance(MESSAGE_MS);
    }

    void advance(long ms) {
        scheduler.runTo(nowMs() + ms);
    }

    long nowMs() {
        return scheduler.clock().nowMs();
    }

    SendRule rule(int router, RequestContent content) {
        return of(router).sendRule(() -> content, nowMs());
    }
}
