package org.masticweir.recovery;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/** Collects what one event leads to; not thread-safe, owned by a {@link RecoveryMachine}. */
final class ActionList {
    private final long deadlineAtMs;
    private final List<RecoveryAction> actions = new ArrayList<>();
    private long wakeAtMs;

    private ActionList(long deadlineAtMs) {
        this.deadlineAtMs = deadlineAtMs;
    }

    /** Returns a list for a request that ends at {@code deadlineAtMs} at the latest. */
    static ActionList until(long deadlineAtMs) {
        return new ActionList(deadlineAtMs);
    }

    void add(RecoveryAction action) {
        actions.add(action);
    }

    /** Has the machine called at {@code atMs}, or at the request's deadline if that is sooner. */
    void wakeAt(long atMs) {
        wakeAtMs = Math.min(atMs, deadlineAtMs);
        actions.add(new RecoveryAction.WakeAt(wakeAtMs));
    }

    /** Returns how long after the time last asked for a call at {@code nowMs} comes. */
    long lateMs(long nowMs) {
        return nowMs - wakeAtMs;
    }

    /** Returns what was collected since the last call. */
    ImmutableList<RecoveryAction> drain() {
        ImmutableList<RecoveryAction> drained = ImmutableList.copyOf(actions);
        actions.clear();
        return drained;
    }
}
