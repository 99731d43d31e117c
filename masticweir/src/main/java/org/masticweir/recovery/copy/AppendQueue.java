package org.masticweir.recovery.copy;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.CopyMessage.AppendBatch;

/**
 * The appends of many requests to one holder, of which one batch at a time is on its way.
 *
 * <p>Under load the appends of one round trip share a frame; without load each goes at once.
 * Thread-safe.
 */
final class AppendQueue {
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private final int batchTokens;
    private boolean busy;

    AppendQueue(int batchTokens) {
        this.batchTokens = batchTokens;
    }

    /** Adds an append; returns the batch to send now, if none is on its way. */
    synchronized Optional<Batch> add(Entry entry) {
        waiting.add(entry);
        return busy ? Optional.empty() : take();
    }

    /** Notes that the batch on its way is done with; returns the next. */
    synchronized Optional<Batch> next() {
        busy = false;
        return take();
    }

    synchronized boolean idle() {
        return !busy && waiting.isEmpty();
    }

    private Optional<Batch> take() {
        List<Entry> taken = new ArrayList<>();
        int tokens = 0;
        while (!waiting.isEmpty() && (taken.isEmpty() || tokens < batchTokens)) {
            Entry e = waiting.removeFirst();
            tokens += e.append.tokens().length();
            taken.add(e);
        }
        busy = !taken.isEmpty();
        return busy ? Optional.of(new Batch(ImmutableList.copyOf(taken))) : Optional.empty();
    }

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
