package org.masticweir.standins.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The list of instances, in which a change shows only after a lag.
 *
 * <p>Changes show in the order in which they were made. The class is thread-safe.
 */
final class InstanceList {
    private final Deque<Change> pending = new ArrayDeque<>();
    private final TreeMap<String, Instance> shown = new TreeMap<>();
    private long lagMs;

    private InstanceList(long lagMs) {
        setLagMs(lagMs);
    }

    static InstanceList withLagMs(long lagMs) {
        return new InstanceList(lagMs);
    }

    synchronized void put(Instance instance, long nowMs) {
        pending.add(new Change(instance.id(), Optional.of(instance), nowMs));
    }

    synchronized void remove(String id, long nowMs) {
        pending.add(new Change(id, Optional.empty(), nowMs));
    }

    /** Sets the lag for changes not yet shown and for later ones. */
    synchronized void setLagMs(long ms) {
        checkArgument(ms >= 0, "list lag of %s ms", ms);
        lagMs = ms;
    }

    /** Returns the list as it was about one lag before {@code nowMs}, by id. */
    synchronized ImmutableList<Instance> at(long nowMs) {
        while (!pending.isEmpty() && pending.peek().madeAtMs() + lagMs <= nowMs) {
            show(pending.remove());
        }
        return ImmutableList.copyOf(shown.values());
    }

    private void show(Change change) {
        change.instance()
                .ifPresentOrElse(
                        instance -> shown.put(change.id(), instance),
                        () -> shown.remove(change.id()));
    }

    private record Change(String id, Optional<Instance> instance, long madeAtMs) {}
}
