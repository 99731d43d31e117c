package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkDirection;
import org.masticweir.peer.LinkListener;

/**
 * Tells owners that the router which holds their copy is lost.
 *
 * <p>A placement copy hears nothing between two attempts, so no answer would ever fail to come: a
 * holder's death would show only when the copy is wanted. The loss of its link shows it in time to
 * copy again. Thread-safe.
 */
final class HolderWatch implements LinkListener {
    private final ConcurrentMap<RouterId, Set<Consumer<CopyEvent>>> watchers =
            new ConcurrentHashMap<>();

    void watch(RouterId holder, Consumer<CopyEvent> events) {
        checkNotNull(events, "events");
        watchers.compute(
                checkNotNull(holder, "holder"),
                (h, known) -> {
                    Set<Consumer<CopyEvent>> all =
                            known == null ? ConcurrentHashMap.newKeySet() : known;
                    all.add(events);
                    return all;
                });
    }

    void unwatch(RouterId holder, Consumer<CopyEvent> events) {
        watchers.computeIfPresent(
                holder,
                (h, known) -> {
                    known.remove(events);
                    return known.isEmpty() ? null : known;
                });
    }

    void lost(RouterId holder) {
        Set<Consumer<CopyEvent>> all = watchers.getOrDefault(holder, Set.of());
        List.copyOf(all).forEach(w -> w.accept(new CopyEvent.HolderLost(holder)));
    }

    @Override
    public void linkUp(Hello peer, LinkDirection direction) {}

    @Override
    public void linkDown(RouterId peer, LinkDirection direction) {
        if (direction == LinkDirection.OUTGOING) {
            lost(peer);
        }
    }
}
