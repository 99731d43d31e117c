package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.primitives.ImmutableIntArray;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The accepted tokens of one request, from which any number of callers read at their own speed.
 *
 * <p>Readers see only what was released. A slow reader costs no memory beyond this log.
 * Thread-safe: one thread appends, others read; listeners are run on the appending thread and must
 * only pass the news on.
 */
public final class AnswerLog {
    private static final int FIRST_CAPACITY = 64;

    private final List<Runnable> listeners = new ArrayList<>();
    private final List<Runnable> watches = new ArrayList<>();
    private int[] tokens = new int[FIRST_CAPACITY];
    private int size;
    private int released;
    private int generation;
    private AnswerEnd end;
    private long reads;

    /** Appends accepted tokens, not yet released; the first must have index {@link #size()}. */
    public void append(int from, ImmutableIntArray added) {
        checkNotNull(added, "added");
        synchronized (this) {
            checkState(end == null, "the answer has ended");
            checkArgument(from == size, "token %s accepted after %s", from, size);
            ensureCapacity(size + added.length());
            for (int i = 0; i < added.length(); i++) {
                tokens[size + i] = added.get(i);
            }
            size += added.length();
        }
    }

    /** Lets readers see all tokens below {@code index}; what was released stays so. */
    public void releaseTo(int index) {
        synchronized (this) {
            checkArgument(index <= size, "release to %s of %s tokens", index, size);
            if (index <= released) {
                return;
            }
            released = index;
        }
        tellListeners();
    }

    /**
     * Starts a generation, which voids all of an earlier one; the same one again changes nothing.
     */
    public void startGeneration(int newGeneration) {
        synchronized (this) {
            if (newGeneration == generation) {
                return;
            }
            checkArgument(newGeneration > generation, "generation %s", newGeneration);
            generation = newGeneration;
            size = 0;
            released = 0;
        }
        tellListeners();
    }

    /** Ends the answer; a second end is ignored, since the first was final. */
    public void finish(AnswerEnd how) {
        checkNotNull(how, "how");
        synchronized (this) {
            if (end != null) {
                return;
            }
            end = how;
        }
        tellListeners();
    }

    /** Runs {@code listener} after every change until {@link #unlisten}. */
    public synchronized void listen(Runnable listener) {
        listeners.add(checkNotNull(listener, "listener"));
    }

    public synchronized void unlisten(Runnable listener) {
        listeners.remove(listener);
    }

    /**
     * Runs {@code watch} after every change until {@link #unwatch}, as {@link #listen} does, but
     * for a part of this router that is no reader: the answer reaches nobody through it.
     */
    public synchronized void watch(Runnable watch) {
        watches.add(checkNotNull(watch, "watch"));
    }

    public synchronized void unwatch(Runnable watch) {
        watches.remove(watch);
    }

    /** Returns up to {@code limit} tokens from index {@code from} on, with the state seen. */
    public synchronized View read(int from, int limit) {
        checkArgument(from >= 0, "from %s", from);
        reads++;
        int to = Math.min(released, from + limit);
        return new View(generation, released, slice(from, to), Optional.ofNullable(end));
    }

    /** Returns the tokens from {@code from} to below {@code to}, released or not. */
    public synchronized ImmutableIntArray accepted(int from, int to) {
        checkArgument(to <= size, "tokens up to %s of %s", to, size);
        return slice(from, to);
    }

    /** Returns the count of accepted tokens. */
    public synchronized int size() {
        return size;
    }

    /** Returns how often the log was read, so that one can tell whether anybody still reads. */
    public synchronized long reads() {
        return reads;
    }

    /** Returns the count of those who listen; watches are none of them. */
    public synchronized int readers() {
        return listeners.size();
    }

    public synchronized boolean watched() {
        return !watches.isEmpty();
    }

    public synchronized boolean ended() {
        return end != null;
    }

    private ImmutableIntArray slice(int from, int to) {
        return from >= to
                ? ImmutableIntArray.of()
                : ImmutableIntArray.copyOf(Arrays.copyOfRange(tokens, from, to));
    }

    private void ensureCapacity(int wanted) {
        if (wanted > tokens.length) {
            tokens = Arrays.copyOf(tokens, Math.max(wanted, tokens.length * 2));
        }
    }

    private void tellListeners() {
        List<Runnable> told;
        synchronized (this) {
            told = new ArrayList<>(listeners);
            told.addAll(watches);
        }
        told.forEach(Runnable::run);
    }

    /**
     * A consistent look at the log.
     *
     * @param released count of all tokens released at that moment
     * @param end how the answer ended, if it has; then no token follows {@code released}
     */
    public record View(
            int generation, int released, ImmutableIntArray tokens, Optional<AnswerEnd> end) {}
}
