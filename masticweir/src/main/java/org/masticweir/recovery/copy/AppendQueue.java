package org.masticweir.recovery.copy;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.CopyMessage.AppendBatch;

/**
 * The appends of many requests to one holder, of which one batch at a time is on its way.
 *
 * <p>Under load the appends of one round trip share a frame; without load each goes at once. With
 * many holders each of them has so few appends in a round trip that they would go one by one, so
 * batches also keep a distance in time. Thread-safe.
 */
final class AppendQueue {
    private static final Turn NOTHING = new Turn(Optional.empty(), OptionalLong.empty());

    private final Deque<Entry> waiting = new ArrayDeque<>();
    private final int batchTokens;
    private final LongSupplier paceMs;
    private boolean busy;
    private boolean wakeUpSet;
    private long nextAtMs = Long.MIN_VALUE;

    /** Returns an empty queue; {@code paceMs} is the least time between two batches. */
    AppendQueue(int batchTokens, LongSupplier paceMs) {
        this.batchTokens = batchTokens;
        this.paceMs = paceMs;
    }

    /** Adds an append; returns what to do now. */
    synchronized Turn add(Entry entry, long nowMs) {
        waiting.add(entry);
        return turn(nowMs);
    }

    /** Notes that the batch on its way is done with; returns what to do now. */
    synchronized Turn next(long nowMs) {
        busy = false;
        return turn(nowMs);
    }

    /** Notes that the time came at which an earlier turn wished to be woken. */
    synchronized Turn wokenUp(long nowMs) {
        wakeUpSet = false;
        return turn(nowMs);
    }

    synchronized boolean idle() {
        return !busy && waiting.isEmpty();
    }

    private Turn turn(long nowMs) {
        if (busy || waiting.isEmpty()) {
            return NOTHING;
        }
        if (nowMs >= nextAtMs) {
            nextAtMs = nowMs + paceMs.getAsLong();
            return new Turn(Optional.of(take()), OptionalLong.empty());
        }
        if (wakeUpSet) {
            return NOTHING;
        }
        wakeUpSet = true;
        return new Turn(Optional.empty(), OptionalLong.of(nextAtMs - nowMs));
    }

    private Batch take() {
        List<Entry> taken = new ArrayList<>();
        int tokens = 0;
        while (!waiting.isEmpty() && (taken.isEmpty() || tokens < batchTokens)) {
            Entry e = waiting.removeFirst();
            tokens += e.append.tokens().length();
            taken.add(e);
        }
        busy = true;
        return new Batch(ImmutableList.copyOf(taken));
    }

    /**
     * What to do now.
     *
     * @param batch to be sent
     * @param wakeUpMs time after which to call {@link #wokenUp}
     */
    record Turn(Optional<Batch> batch, OptionalLong wakeUpMs) {}

    /** One append and who waits for its answer. */
    record Entry(CopyCommand.Append append, long number, Consumer<CopyEvent> events) {}

    /** The appends of one frame. */
    record Batch(ImmutableList<Entry> entries) {
        /** Returns the message; all appends are of {@code owner}, the router that sends it. */
        AppendBatch message(RouterId owner) {
            return new AppendBatch(
                    owner,
                    entries.stream().map(Entry::append).collect(ImmutableList.toImmutableList()));
        }

        /** Passes the answers on; a reply of another length answers nothing. */
        void answered(RouterId holder, List<HolderAnswer> answers) {
            if (answers.size() != entries.size()) {
                return;
            }
            for (int i = 0; i < answers.size(); i++) {
                Entry e = entries.get(i);
                e.events.accept(new CopyEvent.Answered(holder, e.number, answers.get(i)));
            }
        }

        void lost(RouterId holder) {
            entries.forEach(e -> e.events.accept(new CopyEvent.HolderLost(holder)));
        }
    }
}
