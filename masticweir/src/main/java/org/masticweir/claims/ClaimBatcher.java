package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.Comparator.comparingLong;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.TransactionOutcome;

/**
 * Decides which claims of one router share a transaction, and when the transaction is sent.
 *
 * <p>{@link #offer} queues a write, {@link #nextGroup} returns the next transaction that is due,
 * and {@link #onOutcome} converts the outcome of a transaction to the outcomes of its claims. A
 * claim whose row differs fails alone; the other claims of the transaction are queued again for the
 * next group. Not thread-safe: owned by the control thread.
 */
final class ClaimBatcher {
    /** A queued write and the time at which its wait started. */
    private record QueuedWrite(BatchItem item, long sinceMs) {
        RowKey key() {
            return item.write().key();
        }
    }

    private final BatchLimits limits;
    private final WriteBudget budget;
    private final Deque<QueuedWrite> urgentWrites = new ArrayDeque<>();
    private final Queue<QueuedWrite> lazyWrites =
            new PriorityQueue<>(comparingLong(QueuedWrite::sinceMs));
    private final Map<Long, List<QueuedWrite>> groupsInFlight = new HashMap<>();
    private long lastGroupId;
    private int consecutiveFailures;
    private long pausedUntilMs = Long.MIN_VALUE;

    ClaimBatcher(BatchLimits limits, long nowMs) {
        this.limits = checkNotNull(limits, "limits");
        budget = new WriteBudget(limits.writesPerSecond(), limits.inFlight(), nowMs);
    }

    /**
     * Queues {@code item}, or returns the delay in milliseconds before a retry.
     *
     * <p>Refuses at once when the queue is full or the table is unavailable, so that a caller
     * doesn't wait for a write that can't be made in time.
     */
    OptionalLong offer(BatchItem item, long nowMs) {
        boolean isUrgent = item.write().isUrgent();
        if (isUrgent && isPaused(nowMs)) {
            return OptionalLong.of(pausedUntilMs - nowMs);
        }
        Queue<QueuedWrite> queue = isUrgent ? urgentWrites : lazyWrites;
        if (queue.size() >= (isUrgent ? limits.queueRows() : limits.lazyRows())) {
            return OptionalLong.of(budget.durationMs(1 + queue.size() / limits.maxRows()));
        }
        queue.add(new QueuedWrite(item, Math.max(nowMs, item.write().notBeforeMs())));
        return OptionalLong.empty();
    }

    /** Returns the group to commit now, if one is due. */
    Optional<ClaimGroup> nextGroup(long nowMs) {
        if (dueMs(nowMs) > nowMs) {
            return Optional.empty();
        }
        List<QueuedWrite> chosen = new ArrayList<>();
        Set<RowKey> keys = new HashSet<>();
        moveToBatch(urgentWrites, chosen, keys, nowMs);
        moveToBatch(lazyWrites, chosen, keys, nowMs);
        if (chosen.isEmpty()) {
            return Optional.empty();
        }
        budget.spend();
        groupsInFlight.put(++lastGroupId, chosen);
        return Optional.of(new ClaimGroup(lastGroupId, Lists.transform(chosen, QueuedWrite::item)));
    }

    /**
     * Returns the time at which to call {@link #nextGroup} again, if a write is queued that can
     * become due.
     */
    OptionalLong nextDueMs(long nowMs) {
        long due = dueMs(nowMs);
        return due == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(due);
    }

    /** Returns the outcomes of the claims in a group whose transaction had {@code outcome}. */
    List<BatchEvent> onOutcome(long group, TransactionOutcome outcome, long nowMs) {
        List<QueuedWrite> items = groupsInFlight.remove(group);
        checkArgument(items != null, "group %s is not under way", group);
        if (outcome instanceof TransactionOutcome.Committed c) {
            consecutiveFailures = 0;
            return events(items, w -> new ClaimEvent.Committed(w.ticket(), c.revision()));
        }
        if (outcome instanceof TransactionOutcome.Conflicted c) {
            consecutiveFailures = 0;
            return onConflict(items, c.rows());
        }
        List<BatchEvent> events = new ArrayList<>();
        if (outcome instanceof TransactionOutcome.NotDone n) {
            OptionalLong advice = n.retryAfterMs();
            events.addAll(events(items, w -> new ClaimEvent.NotDone(w.ticket(), advice)));
        } else {
            events.addAll(events(items, w -> new ClaimEvent.Unknown(w.ticket())));
        }
        events.addAll(countFailure(nowMs));
        return events;
    }

    boolean isPaused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /** Returns how long the write budget needs for the queued rows that callers wait for. */
    long urgentQueueMs() {
        return budget.durationMs(urgentWrites.size() / limits.maxRows());
    }

    int queuedRows() {
        return urgentWrites.size() + lazyWrites.size();
    }

    /**
     * Reports a conflict to the claims whose rows differ. Queues the other claims again, before
     * newer writes.
     *
     * <p>A conflict proves that the whole transaction had no effect, so the other claims can be
     * written anew. A conflict that names none of the transaction's rows proves nothing, and
     * requeueing could repeat this conflict forever.
     */
    private List<BatchEvent> onConflict(List<QueuedWrite> items, List<Row> rows) {
        Map<RowKey, Row> differing =
                rows.stream().collect(Collectors.toMap(Row::key, r -> r, (a, b) -> b));
        List<QueuedWrite> conflicting = new ArrayList<>();
        List<QueuedWrite> unaffected = new ArrayList<>();
        items.forEach(q -> (differing.containsKey(q.key()) ? conflicting : unaffected).add(q));
        if (conflicting.isEmpty()) {
            return events(items, w -> new ClaimEvent.Unknown(w.ticket()));
        }
        for (QueuedWrite q : Lists.reverse(unaffected)) {
            if (q.item().write().isUrgent()) {
                urgentWrites.addFirst(q);
            } else {
                lazyWrites.add(q);
            }
        }
        return events(
                conflicting, w -> new ClaimEvent.Conflicted(w.ticket(), differing.get(w.key())));
    }

    /**
     * Refuses queued callers at once during an outage: their queued writes certainly have no
     * effect.
     */
    private List<BatchEvent> countFailure(long nowMs) {
        consecutiveFailures++;
        if (consecutiveFailures < limits.failuresToPause()) {
            return ImmutableList.of();
        }
        pausedUntilMs = nowMs + limits.pauseMs();
        OptionalLong advice = OptionalLong.of(limits.pauseMs());
        List<QueuedWrite> refusedWrites = ImmutableList.copyOf(urgentWrites);
        urgentWrites.clear();
        return events(refusedWrites, w -> new ClaimEvent.NotDone(w.ticket(), advice));
    }

    private static List<BatchEvent> events(
            List<QueuedWrite> items, Function<ClaimWrite, ClaimEvent> event) {
        return items.stream()
                .map(QueuedWrite::item)
                .map(i -> new BatchEvent(i.claim(), event.apply(i.write())))
                .collect(ImmutableList.toImmutableList());
    }

    private void moveToBatch(
            Queue<QueuedWrite> from, List<QueuedWrite> to, Set<RowKey> keys, long nowMs) {
        List<QueuedWrite> skippedWrites = new ArrayList<>();
        while (to.size() < limits.maxRows() && !from.isEmpty()) {
            if (from.peek().sinceMs() > nowMs) {
                break;
            }
            QueuedWrite next = from.remove();
            // In one transaction, two writes of the same row would fail each other's check.
            (keys.add(next.key()) ? to : skippedWrites).add(next);
        }
        from.addAll(skippedWrites);
    }

    private long dueMs(long nowMs) {
        if (groupsInFlight.size() >= limits.inFlight()) {
            return Long.MAX_VALUE;
        }
        long due = Math.min(urgentDueMs(), lazyDueMs());
        if (due == Long.MAX_VALUE) {
            return due;
        }
        return Math.max(Math.max(due, pausedUntilMs), budget.nextTokenMs(nowMs));
    }

    private long urgentDueMs() {
        if (urgentWrites.size() >= limits.maxRows()) {
            return Long.MIN_VALUE;
        }
        return urgentWrites.isEmpty()
                ? Long.MAX_VALUE
                : urgentWrites.peek().sinceMs() + limits.waitMs();
    }

    private long lazyDueMs() {
        return lazyWrites.isEmpty()
                ? Long.MAX_VALUE
                : lazyWrites.peek().sinceMs() + limits.lazyWaitMs();
    }
}
